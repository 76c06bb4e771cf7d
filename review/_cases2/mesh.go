package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/tamarackpitch/tamarackpitch/platform/standin"
)

// Bounds of the users' pages for the site that the cases name.
const (
	contactTime   = 3 * time.Second
	drainTime     = 2 * time.Second
	graceTime     = 6 * time.Second
	heartbeatTime = 870 * time.Millisecond
	appendTime    = 4 * time.Millisecond
	restartDelay  = 800 * time.Millisecond
)

// record writes what happens in a run to record.txt, with the time since its start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord() (*record, error) {
	f, err := os.Create("record.txt")
	return &record{file: f, start: time.Now()}, err
}

func (r *record) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.file, format+"\n", values...)
}

// store serves the platform's store: the project's stand-in, with the time that an append takes. An append whose connection ends
// before its turn is not executed.
type store struct {
	*standin.Store
	address string

	mu sync.Mutex
	// appendTime is what an append takes.
	appendTime time.Duration
}

func newStore(host string, rec *record) (*store, error) {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return nil, err
	}
	s := &store{Store: standin.New(), address: l.Addr().String(), appendTime: appendTime}
	next := s.Handler()
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			if !s.awaitTurn(r) {
				rec.add("store: append to %s not executed, its connection ended", r.URL.Query().Get("Topic"))
				panic(http.ErrAbortHandler)
			}
			rec.add("store: append to %s executed", r.URL.Query().Get("Topic"))
		}
		next.ServeHTTP(w, r)
	})
	go func() { _ = (&http.Server{Handler: handler}).Serve(l) }()
	return s, nil
}

// awaitTurn waits for what an append takes, and reports whether its connection is still open.
func (s *store) awaitTurn(r *http.Request) bool {
	body := &bytes.Buffer{}
	if _, err := body.ReadFrom(r.Body); err != nil {
		return false
	}
	r.Body = nopCloser{body}
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-r.Context().Done():
		return false
	case <-time.After(s.appendTime):
		return r.Context().Err() == nil
	}
}

type nopCloser struct{ *bytes.Buffer }

func (nopCloser) Close() error { return nil }

// machine is a machine with a node.
type machine struct {
	name, host, zone, service string
	dir                       string
	first                     bool
	command                   *exec.Cmd
	exited                    chan struct{}
	rec                       *record
	store                     string
	// startedAt is when the latest process was started.
	startedAt time.Time
}

// Ports of every machine, each of which has its own loopback address. They are offsets from basePort.
const (
	portControl = iota
	portInbound
	portReady
	portApp
	portOutbound
	portLinks
	portAdmin
	portCount
)

const (
	firstPort = 18_000
	lastPort  = 30_000
)

// basePort is the first of portCount ports that are free at the addresses of all machines.
var basePort int

// findPorts sets basePort.
func findPorts(hosts []string) error {
	for basePort = firstPort; basePort < lastPort; basePort += portCount {
		if portsFree(hosts) {
			return nil
		}
	}
	return errors.New("no free ports")
}

func portsFree(hosts []string) bool {
	for _, h := range hosts {
		for port := range portCount {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", h, basePort+port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (m *machine) at(port int) string { return fmt.Sprintf("%s:%d", m.host, basePort+port) }

// settings fills in the template of the deploy file.
func (m *machine) settings() (string, error) {
	text, err := os.ReadFile(filepath.Join(root(), "deploy", "node.yaml"))
	if err != nil {
		return "", err
	}
	s := string(text)
	quoted := func(v string) string { return `"` + v + `"` }
	if m.first {
		s = strings.NewReplacer("{{#FirstStart}}", "", "{{/FirstStart}}", "").Replace(s)
	} else {
		before, rest, _ := strings.Cut(s, "{{#FirstStart}}")
		_, after, _ := strings.Cut(rest, "{{/FirstStart}}")
		s = before + after
	}
	s = strings.NewReplacer("{{NodeName|json}}", quoted(m.name), "{{Zone|json}}", quoted(m.zone), "{{Region|json}}", quoted("guj-west"),
		"{{Listen.Outbound|json}}", quoted(m.at(portOutbound)), "{{Listen.Inbound|json}}", quoted(m.at(portInbound)),
		"{{Ip}}:{{PortRange.0}}", m.at(portLinks), "{{Ip}}:{{PortRange.1}}", m.at(portAdmin),
		"{{Listen.Control|json}}", quoted(m.at(portControl)), "{{Listen.Ready|json}}", quoted(m.at(portReady)),
		"{{Platform.Address}}", m.store, "{{Service|json}}", quoted(m.service), "{{Seeds}}", "",
		"{{Limits.LinkMbps}}", "1000", "{{#Bounds.GraceS}}", "", "{{/Bounds.GraceS}}", "", "{{Bounds.GraceS}}", "6").Replace(s)
	if strings.Contains(s, "{{") {
		return "", errors.New("a placeholder of deploy/node.yaml is not filled in:\n" + s)
	}
	return s, nil
}

// start starts the node with the command of the deploy file.
func (m *machine) start() error {
	s, err := m.settings()
	if err != nil {
		return err
	}
	file := filepath.Join(m.dir, m.name+".yaml")
	if err := os.WriteFile(file, []byte(s), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.dir, m.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	m.command = exec.Command(filepath.Join(root(), "target", "tamarackpitch"), "node", "--settings="+file)
	m.command.Stdout, m.command.Stderr = log, log
	m.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.command.Start(); err != nil {
		return err
	}
	m.startedAt = time.Now()
	m.first = false
	m.rec.add("%s: process started", m.name)
	m.exited = make(chan struct{})
	go func(c *exec.Cmd, exited chan struct{}) {
		err := c.Wait()
		m.rec.add("%s: process ended: %v", m.name, err)
		close(exited)
	}(m.command, m.exited)
	return nil
}

func (m *machine) signal(s syscall.Signal) { _ = m.command.Process.Signal(s) }

func (m *machine) kill() {
	if m.command == nil {
		return
	}
	m.signal(syscall.SIGKILL)
	<-m.exited
}

func (m *machine) ready() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + m.at(portReady) + "/api/readiness")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// mesh is a small deployment on this machine.
type mesh struct {
	rec      *record
	dir      string
	store    *store
	machines []*machine
	backends []*backend
}

// root returns the repository's root; cases run in their own folder, two levels below it.
func root() string {
	r := os.Getenv("REVIEW_ROOT")
	if r == "" {
		r = "../.."
	}
	absolute, err := filepath.Abs(r)
	if err != nil {
		return r
	}
	return absolute
}

// zones are those of the machines, in turn.
var zones = []string{"guj-west-a", "guj-west-b", "guj-west-c"}

// newMesh starts a store and one machine with a node and a backend for each service named. The machines are named as the platform
// names them.
func newMesh(rec *record, dir string, services ...string) (*mesh, error) {
	network := fmt.Sprintf("127.%d.%d.", 64+os.Getpid()>>8&0x3f, os.Getpid()&0xff)
	s, err := newStore(network+"250", rec)
	if err != nil {
		return nil, err
	}
	g := &mesh{rec: rec, dir: dir, store: s}
	var hosts []string
	for i := range services {
		hosts = append(hosts, fmt.Sprintf("%s%d", network, i+1))
	}
	if err := findPorts(hosts); err != nil {
		return nil, err
	}
	for i, service := range services {
		zone := zones[i%len(zones)]
		m := &machine{name: fmt.Sprintf("sidecar-%s-%d", zone, i/len(zones)+1), host: hosts[i], zone: zone,
			service: service, dir: dir, first: true, rec: rec, store: s.address}
		g.machines = append(g.machines, m)
		g.backends = append(g.backends, newBackend(m, fmt.Sprintf("i-%d", i+1), "v1"))
	}
	return g, nil
}

// startAll starts the nodes, then the backends, and waits until all nodes are ready.
func (g *mesh) startAll() error {
	for _, m := range g.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	for _, b := range g.backends {
		if err := b.start(); err != nil {
			return err
		}
		go b.beat()
	}
	return g.awaitReady(20 * time.Second)
}

func (g *mesh) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, m := range g.machines {
		for !m.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("%s not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (g *mesh) close() {
	for _, m := range g.machines {
		m.kill()
	}
}

// configure writes a configuration as the operator does.
func (g *mesh) configure(version string, routes []map[string]any, services ...string) error {
	var list []map[string]any
	for _, s := range services {
		list = append(list, map[string]any{"Name": s, "MaxConnections": 110, "HealthPath": "/health"})
	}
	value, err := json.Marshal(map[string]any{"Version": version, "Routes": routes, "Services": list,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 1 << 20, "HeaderTimeoutS": 5, "IdleTimeoutS": 10}})
	if err != nil {
		return err
	}
	g.store.Put("keyed.op", "config", value)
	g.rec.add("operator: configuration %s acknowledged", version)
	return nil
}

func route(name, prefix, kind, service string, timeout float64) map[string]any {
	return map[string]any{"Name": name, "Host": "desk.example", "PathPrefix": prefix, "RouteType": kind, "TimeoutS": timeout,
		"TargetLatencyS": 0.6, "Priority": 1, "Service": service, "Attempts": 2}
}
