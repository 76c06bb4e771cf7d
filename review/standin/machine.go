package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the deployment; they are those of the small sites.
const (
	heartbeatInterval = 870 * time.Millisecond
	graceTime         = 6 * time.Second
	contactTime       = 3 * time.Second
	linkMbps          = 1000
)

// deployment is a small deployment on loopback addresses: the store, and machines with a node and a backend each.
type deployment struct {
	root     string
	folder   string
	record   *recorder
	store    *store
	storeURL string
	prefix   string
	ports    ports
	machines []*machine
}

// ports are the same on all machines.
type ports struct {
	inbound, outbound, ready, control, app, first, last int
}

// machine is a machine with its node process.
type machine struct {
	d       *deployment
	name    string
	zone    string
	service string
	ip      string
	backend *backend

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	started bool
	logs    []string
	// inNow is what the platform makes of the last readiness checks.
	inNow bool
}

func newDeployment(root, folder string, r *recorder) (*deployment, error) {
	d := &deployment{root: root, folder: folder, record: r, store: newStore(r)}
	var err error
	for range 50 {
		d.prefix = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		if err = d.choosePorts(); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", d.prefix+"250:0")
	if err != nil {
		return nil, err
	}
	d.storeURL = l.Addr().String()
	go func() { _ = http.Serve(l, d.store.handler()) }()
	return d, nil
}

// choosePorts finds ports that are free on the first addresses of the prefix.
func (d *deployment) choosePorts() error {
	base := 7000 + rand.IntN(2000)
	p := ports{inbound: base + 24, outbound: base + 29, ready: base + 25, control: base + 20, app: base + 28, first: base + 100, last: base + 115}
	for i := 1; i <= 12; i++ {
		for _, port := range []int{p.inbound, p.outbound, p.ready, p.control, p.app, p.first, p.last} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", d.prefix, i, port))
			if err != nil {
				return err
			}
			_ = l.Close()
		}
	}
	d.ports = p
	return nil
}

func (d *deployment) addMachine(name, zone, service string) *machine {
	m := &machine{d: d, name: name, zone: zone, service: service, ip: fmt.Sprintf("%s%d", d.prefix, len(d.machines)+1)}
	d.machines = append(d.machines, m)
	return m
}

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }
func (m *machine) outbound() string        { return m.address(m.d.ports.outbound) }

// values are the fields of the platform's settings file.
func (m *machine) values() map[string]any {
	p := m.d.ports
	m.mu.Lock()
	first := !m.started
	m.mu.Unlock()
	return map[string]any{
		"NodeName": m.name, "Zone": m.zone, "Region": "guj-west", "Ip": m.ip, "Service": m.service,
		"Listen.Outbound": m.address(p.outbound), "Listen.Inbound": m.address(p.inbound),
		"Listen.Ready": m.address(p.ready), "Listen.Control": m.address(p.control),
		"PortRange.0": p.first, "PortRange.1": p.last, "Platform.Address": m.d.storeURL, "Seeds": "",
		"Limits.LinkMbps": linkMbps, "FirstStart": first,
	}
}

var (
	sectionPattern     = regexp.MustCompile(`(?s)\{\{#(\w+)\}\}(.*?)\{\{/\w+\}\}`)
	placeholderPattern = regexp.MustCompile(`\{\{([\w.]+)(\|json)?\}\}`)
)

// fill fills in the template of the deploy file.
func fill(template string, values map[string]any) string {
	text := sectionPattern.ReplaceAllStringFunc(template, func(s string) string {
		parts := sectionPattern.FindStringSubmatch(s)
		if on, _ := values[parts[1]].(bool); on {
			return parts[2]
		}
		return ""
	})
	return placeholderPattern.ReplaceAllStringFunc(text, func(s string) string {
		parts := placeholderPattern.FindStringSubmatch(s)
		v, ok := values[parts[1]]
		if !ok {
			return ""
		}
		if parts[2] != "" {
			out, _ := json.Marshal(v)
			return string(out)
		}
		return fmt.Sprint(v)
	})
}

var (
	runPattern      = regexp.MustCompile(`(?m)^run = "(.*)"$`)
	templatePattern = regexp.MustCompile(`(?m)^template = "(.*)"$`)
	settingsPattern = regexp.MustCompile(`/etc/tamarackpitch/node\.yaml`)
)

// start starts the node with the command and the template of the deploy file.
func (m *machine) start() error {
	deploy, err := os.ReadFile(filepath.Join(m.d.root, "deploy/system.toml"))
	if err != nil {
		return err
	}
	run, template := runPattern.FindSubmatch(deploy), templatePattern.FindSubmatch(deploy)
	if run == nil || template == nil {
		return fmt.Errorf("deploy/system.toml names no command or template")
	}
	text, err := os.ReadFile(filepath.Join(m.d.root, string(template[1])))
	if err != nil {
		return err
	}
	path := filepath.Join(m.d.folder, m.name+".yaml")
	if err := os.WriteFile(path, []byte(fill(string(text), m.values())), 0o644); err != nil {
		return err
	}
	words := strings.Fields(settingsPattern.ReplaceAllString(string(run[1]), path))
	c := exec.Command(filepath.Join(m.d.root, words[0]), words[1:]...)
	c.Dir = m.d.root
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + m.d.folder, "TAMARACKPITCH_BOOT=" + path}
	out, err := c.StdoutPipe()
	if err != nil {
		return err
	}
	c.Stderr = c.Stdout
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.mu.Lock()
	m.process, m.exited, m.started = c, exited, true
	m.mu.Unlock()
	m.d.record.log(m.name, "node started, service %s, zone %s", m.service, m.zone)
	go func() {
		for s := bufio.NewScanner(out); s.Scan(); {
			m.mu.Lock()
			m.logs = append(m.logs, s.Text())
			m.mu.Unlock()
			m.d.record.log(m.name, "log: %s", shorten(s.Text(), 260))
		}
		_ = c.Wait()
		m.d.record.log(m.name, "node ended: %s", c.ProcessState)
		close(exited)
	}()
	return nil
}

func (m *machine) signal(s syscall.Signal) {
	m.d.record.log(m.name, "signal to the node: %s", s)
	_ = m.process.Process.Signal(s)
}

// stop sends SIGTERM, and SIGKILL after the grace time, and waits for the end of the process.
func (m *machine) stop() {
	m.signal(syscall.SIGTERM)
	select {
	case <-m.exited:
	case <-time.After(graceTime):
		m.signal(syscall.SIGKILL)
		<-m.exited
	}
}

// ready asks the readiness address once.
func (m *machine) ready() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get("http://" + m.address(m.d.ports.ready) + "/api/readiness")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// watchReadiness asks each node once per second, as the platform does: two misses take a machine out, a 200 takes it in.
func (d *deployment) watchReadiness() {
	for _, m := range d.machines {
		go func() {
			misses := 0
			for ; ; time.Sleep(time.Second) {
				ok := m.ready()
				if ok {
					misses = 0
				} else {
					misses++
				}
				m.mu.Lock()
				before := m.inNow
				m.inNow = ok || before && misses < 2
				after := m.inNow
				m.mu.Unlock()
				if before != after {
					d.record.log("platform", "machine %s is in: %t", m.name, after)
				}
			}
		}()
	}
}

// takesWork reports whether clients on the machine get new work: the machine is in, or fewer than half of its zone's
// machines are.
func (m *machine) takesWork() bool {
	in, all, self := 0, 0, false
	for _, o := range m.d.machines {
		if o.zone != m.zone {
			continue
		}
		o.mu.Lock()
		ok := o.inNow
		o.mu.Unlock()
		all++
		if ok {
			in++
		}
		if o == m {
			self = ok
		}
	}
	return self || 2*in < all
}

// waitReady waits until all nodes are ready.
func (d *deployment) waitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, m := range d.machines {
		for !m.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after %s", m.name, limit)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// close ends all node processes.
func (d *deployment) close() {
	for _, m := range d.machines {
		if m.process == nil {
			continue
		}
		_ = m.process.Process.Signal(syscall.SIGCONT)
		_ = m.process.Process.Kill()
	}
	for _, m := range d.machines {
		if m.process != nil {
			<-m.exited
		}
	}
}
