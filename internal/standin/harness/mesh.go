// Package harness runs a mesh of real processes on loopback for scenario tests, the demo, the soak and the benches.
package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/checker"
	"github.com/tamarackpitch/tamarackpitch/internal/controller"
	"github.com/tamarackpitch/tamarackpitch/internal/operator"
	"github.com/tamarackpitch/tamarackpitch/internal/requester"
	"github.com/tamarackpitch/tamarackpitch/internal/standin/logserver"
)

// Spec describes a VM to start: a node and, if Service is not empty, an upstream.
type Spec struct {
	// Name is the name of both node and upstream.
	Name    string
	Zone    string
	Region  string
	Service string
	Version string
	// UpstreamFlags and NodeFlags are passed in addition to the harness's own flags.
	UpstreamFlags []string
	NodeFlags     []string
	// Relayed has calls from other nodes reach the node through a relay, which can inject network faults.
	Relayed bool
}

// VM is the running processes of a Spec and their addresses, which are IP:port.
type VM struct {
	Spec Spec
	Node *Process
	// Upstream and Relay are nil where the Spec has none.
	Upstream *Process
	Relay    *Process
	// Listen is the node's address for callers.
	Listen string
	// Peer is the address for calls from other nodes: the relay's if there is one, otherwise the node's.
	Peer string
	// Control is the node's address for the overlay.
	Control string
	Admin   string
	// UpstreamAddress is the address of the upstream.
	UpstreamAddress string
	// RelayControl is the relay's address for fault commands.
	RelayControl string
}

// Config holds the settings of a Mesh.
type Config struct {
	// Dir is an existing folder for the log's records, the processes' outputs and the upstreams' ledger.
	Dir string
	// Product and Standin are the paths of the tamarackpitch and the tamarackpitch-standin program.
	Product string
	Standin string
	Specs   []Spec
	// UsePeers starts each node but the first with the control addresses of one or two nodes started before it;
	// otherwise nodes find each other through the log.
	UsePeers bool
}

// Mesh is a log and VMs that run as processes.
type Mesh struct {
	config    Config
	Log       *Process
	LogURL    string
	VMs       []*VM
	Requester *requester.Requester
	// Operator addresses all nodes.
	Operator *operator.Operator
	// LedgerPath is the path of the upstreams' ledger; ReadLedger reads it.
	LedgerPath string
}

const (
	readyTimeout = 30 * time.Second
	pollInterval = 50 * time.Millisecond
)

// Start starts the log and every VM, and waits until all nodes are ready. If they are not ready in time, it
// returns both the Mesh, which the caller stops, and an error. A violated invariant ends a node's process.
func Start(c Config) (*Mesh, error) {
	_ = os.Setenv(checker.FatalEnvVar, "1")
	const portsPerVM = 7
	addresses, err := AllocateAddresses(1 + portsPerVM*len(c.Specs))
	if err != nil {
		return nil, err
	}
	m := &Mesh{config: c, LogURL: "http://" + addresses[0], Requester: requester.New(),
		LedgerPath: filepath.Join(c.Dir, "ledger")}
	m.Log, err = StartProcess(c.Dir, "log", c.Standin, "log", "--listen="+addresses[0],
		"--file="+filepath.Join(c.Dir, "records"))
	if err != nil {
		return nil, err
	}
	for i, s := range c.Specs {
		a := addresses[1+portsPerVM*i:]
		vm := &VM{Spec: s, Listen: a[0], Peer: a[1], Control: a[2], Admin: a[3], UpstreamAddress: a[4], RelayControl: a[6]}
		if err := m.startVM(vm, a[5]); err != nil {
			return nil, err
		}
		m.VMs = append(m.VMs, vm)
	}
	m.Operator = m.NewOperator()
	return m, m.WaitReady(readyTimeout)
}

// NewOperator returns an operator that addresses all nodes.
func (m *Mesh) NewOperator() *operator.Operator {
	var admins []string
	for _, vm := range m.VMs {
		admins = append(admins, vm.Admin)
	}
	return operator.New(operator.Config{Nodes: admins, LogURL: m.LogURL, Requester: m.Requester, Author: "harness"})
}

func (m *Mesh) startVM(vm *VM, relayAddress string) error {
	s := vm.Spec
	var err error
	listen := vm.Peer
	if s.Relayed {
		// The node listens behind the relay and advertises the relay's address to the others.
		vm.Relay, err = StartProcess(m.config.Dir, s.Name+"-relay", m.config.Standin, "relay", "--listen="+vm.Peer,
			"--target="+relayAddress, "--control="+vm.RelayControl)
		if err != nil {
			return err
		}
		listen = relayAddress
	}
	arguments := []string{"node", "--name=" + s.Name, "--zone=" + s.Zone, "--region=" + s.Region, "--listen=" + vm.Listen,
		"--peer-listen=" + listen, "--control-listen=" + vm.Control, "--admin-listen=" + vm.Admin, "--log-url=" + m.LogURL}
	if s.Relayed {
		arguments = append(arguments, "--peer-advertise="+vm.Peer)
	}
	if m.config.UsePeers && len(m.VMs) > 0 {
		arguments = append(arguments, "--peer="+m.VMs[0].Control)
		if len(m.VMs) > 2 {
			arguments = append(arguments, "--peer="+m.VMs[len(m.VMs)/2].Control)
		}
	}
	vm.Node, err = StartProcess(m.config.Dir, s.Name, m.config.Product, append(arguments, s.NodeFlags...)...)
	if err != nil || s.Service == "" {
		return err
	}
	vm.Upstream, err = StartProcess(m.config.Dir, s.Name+"-upstream", m.config.Standin, append([]string{"upstream", "--name=" + s.Name,
		"--service=" + s.Service, "--version=" + s.Version, "--listen=" + vm.UpstreamAddress, "--node=" + vm.Admin,
		"--ledger=" + m.LedgerPath}, s.UpstreamFlags...)...)
	return err
}

// Get requests a URL and returns the answer's status and body, or 0 and nil if there is no answer within a second.
func (m *Mesh) Get(url string) (int, []byte) {
	return m.do(http.MethodGet, url, nil)
}

func (m *Mesh) do(method, url string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	answer, err := m.Requester.Do(ctx, method, url, body)
	if err != nil {
		return 0, nil
	}
	return answer.Status, answer.Body
}

// postUntilOK posts a body to a stand-in until the answer has status 200 or readyTimeout has passed: on a busy
// machine a single request may time out.
func (m *Mesh) postUntilOK(url string, body []byte) {
	WaitUntil(readyTimeout, func() bool {
		status, _ := m.do(http.MethodPost, url, body)
		return status == http.StatusOK
	})
}

// Status returns a node's status. It reports false if the node gives no valid answer.
func (m *Mesh) Status(vm *VM) (controller.Status, bool) {
	var s controller.Status
	code, body := m.Get("http://" + vm.Admin + "/status")
	return s, code == http.StatusOK && json.Unmarshal(body, &s) == nil
}

// WaitUntil polls a condition until it holds or the timeout has passed, and reports whether it holds.
func WaitUntil(timeout time.Duration, condition func() bool) bool {
	deadline := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(pollInterval)
	}
	return true
}

// WaitReady waits until every running node is ready, has at least as many members as nodes are running, and
// has the announcement of its upstream if that is running.
func (m *Mesh) WaitReady(timeout time.Duration) error {
	unready := ""
	ok := WaitUntil(timeout, func() bool {
		unready = m.unreadyNodes()
		return unready == ""
	})
	if !ok {
		return fmt.Errorf("nodes not ready after %s: %s", timeout, unready)
	}
	return nil
}

// unreadyNodes describes the running nodes that do not meet the condition of WaitReady.
func (m *Mesh) unreadyNodes() string {
	running := 0
	for _, vm := range m.VMs {
		if vm.Node.Running() {
			running++
		}
	}
	var unready []string
	for _, vm := range m.VMs {
		if !vm.Node.Running() {
			continue
		}
		s, ok := m.Status(vm)
		announced := vm.Upstream == nil || !vm.Upstream.Running() || s.Service == vm.Spec.Service
		if !ok || !s.Ready || s.Members < running || !announced {
			unready = append(unready, vm.Spec.Name+"("+s.Reason+" members="+strconv.Itoa(s.Members)+")")
		}
	}
	return strings.Join(unready, " ")
}

// DumpUnresponsive has the running nodes that do not answer write their goroutines to their outputs and exit.
func (m *Mesh) DumpUnresponsive() {
	for _, vm := range m.VMs {
		if _, ok := m.Status(vm); !ok && vm.Node.Running() {
			vm.Node.Dump()
		}
	}
}

// SetFaults replaces the faults that the log injects; the zero Faults end them.
func (m *Mesh) SetFaults(f logserver.Faults) {
	body, _ := json.Marshal(f)
	m.postUntilOK(m.LogURL+"/faults", body)
}

// SetBehaviour replaces the behaviour of a VM's upstream by an upstream.Behaviour.
func (m *Mesh) SetBehaviour(vm *VM, behaviour any) {
	body, _ := json.Marshal(behaviour)
	m.postUntilOK("http://"+vm.UpstreamAddress+"/standin/behaviour", body)
}

// RelayFault sends a fault command, such as /cut, to the relay of a VM.
func (m *Mesh) RelayFault(vm *VM, path string) {
	m.postUntilOK("http://"+vm.RelayControl+path, nil)
}

// Entries returns the running nodes' addresses for callers.
func (m *Mesh) Entries() []string {
	var all []string
	for _, vm := range m.VMs {
		if vm.Node.Running() {
			all = append(all, vm.Listen)
		}
	}
	return all
}

// Find returns the VM with a name, or nil.
func (m *Mesh) Find(name string) *VM {
	for _, vm := range m.VMs {
		if vm.Spec.Name == name {
			return vm
		}
	}
	return nil
}

// Stop kills every process, frozen ones included.
func (m *Mesh) Stop() {
	for _, vm := range m.VMs {
		for _, p := range []*Process{vm.Upstream, vm.Node, vm.Relay} {
			if p != nil && p.Running() {
				p.Thaw()
				p.Kill()
			}
		}
	}
	if m.Log.Running() {
		m.Log.Kill()
	}
}
