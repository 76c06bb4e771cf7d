// Package harness runs a mesh of real processes on loopback for the demo, the soak and the benches.
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

// Spec describes one VM: a node and perhaps an upstream.
type Spec struct {
	Name    string
	Zone    string
	Region  string
	Service string
	Version string
	// UpstreamFlags are further flags of the upstream stand-in.
	UpstreamFlags []string
	NodeFlags     []string
	// Relayed puts a relay before the node's address for calls of other nodes.
	Relayed bool
}

// VM is one node with the upstream beside it.
type VM struct {
	Spec     Spec
	Node     *Process
	Upstream *Process
	Relay    *Process
	Listen   string
	Peer     string
	Control  string
	Admin    string
	Address  string
	// RelayControl takes the relay's faults.
	RelayControl string
}

// Config builds a Mesh.
type Config struct {
	// Dir holds the programs' outputs and the upstreams' ledger.
	Dir string
	// Product and Standin are the programs' paths.
	Product string
	Standin string
	Specs   []Spec
	// UsePeers gives new nodes the control addresses of the first ones; otherwise the log tells them.
	UsePeers bool
}

// Mesh is a set of running processes.
type Mesh struct {
	config    Config
	Log       *Process
	LogURL    string
	VMs       []*VM
	Requester *requester.Requester
	Operator  *operator.Operator
	Ledger    string
}

const (
	readyTimeout = 30 * time.Second
	pollPause    = 50 * time.Millisecond
)

// Start starts the log and every VM, and waits until all nodes are ready.
func Start(c Config) (*Mesh, error) {
	_ = os.Setenv(checker.FatalEnvironment, "1")
	engine, err := requester.NewEngine(nil)
	if err != nil {
		return nil, err
	}
	const portsPerVM = 7
	addresses, err := takeAddresses(1 + portsPerVM*len(c.Specs))
	if err != nil {
		return nil, err
	}
	m := &Mesh{config: c, LogURL: "http://" + addresses[0], Requester: requester.New(engine), Ledger: filepath.Join(c.Dir, "ledger")}
	m.Log, err = start(c.Dir, "log", c.Standin, "log", "--listen="+addresses[0],
		"--file="+filepath.Join(c.Dir, "records"))
	if err != nil {
		return nil, err
	}
	for i, s := range c.Specs {
		a := addresses[1+portsPerVM*i:]
		vm := &VM{Spec: s, Listen: a[0], Peer: a[1], Control: a[2], Admin: a[3], Address: a[4], RelayControl: a[6]}
		if err := m.startVM(vm, a[5]); err != nil {
			return nil, err
		}
		m.VMs = append(m.VMs, vm)
	}
	m.Operator = m.NewOperator()
	return m, m.WaitReady(readyTimeout)
}

// NewOperator returns an operator that knows every node.
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
		// The node listens behind the relay; the others learn the relay's address.
		vm.Relay, err = start(m.config.Dir, s.Name+"-relay", m.config.Standin, "relay", "--listen="+vm.Peer,
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
	vm.Node, err = start(m.config.Dir, s.Name, m.config.Product, append(arguments, s.NodeFlags...)...)
	if err != nil || s.Service == "" {
		return err
	}
	vm.Upstream, err = start(m.config.Dir, s.Name+"-upstream", m.config.Standin, append([]string{"upstream", "--name=" + s.Name,
		"--service=" + s.Service, "--version=" + s.Version, "--listen=" + vm.Address, "--node=" + vm.Admin,
		"--ledger=" + m.Ledger}, s.UpstreamFlags...)...)
	return err
}

// Get asks an address and returns the answer's status and body.
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

// insist sends a request to a stand-in until it has taken effect, since a busy machine may be late.
func (m *Mesh) insist(url string, body []byte) {
	Until(readyTimeout, func() bool {
		status, _ := m.do(http.MethodPost, url, body)
		return status == http.StatusOK
	})
}

// Status returns a node's status, or false.
func (m *Mesh) Status(vm *VM) (controller.Status, bool) {
	var s controller.Status
	code, body := m.Get("http://" + vm.Admin + "/status")
	return s, code == http.StatusOK && json.Unmarshal(body, &s) == nil
}

// Until polls a condition until it holds or the time is over.
func Until(timeout time.Duration, condition func() bool) bool {
	deadline := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(pollPause)
	}
	return true
}

// WaitReady waits until every running node is ready, knows every running node, and its upstream is announced.
func (m *Mesh) WaitReady(timeout time.Duration) error {
	missing := ""
	ok := Until(timeout, func() bool {
		missing = m.notReady()
		return missing == ""
	})
	if !ok {
		return fmt.Errorf("not ready after %s: %s", timeout, missing)
	}
	return nil
}

func (m *Mesh) notReady() string {
	running := 0
	for _, vm := range m.VMs {
		if vm.Node.Running() {
			running++
		}
	}
	var late []string
	for _, vm := range m.VMs {
		if !vm.Node.Running() {
			continue
		}
		s, ok := m.Status(vm)
		announced := vm.Upstream == nil || !vm.Upstream.Running() || s.Service == vm.Spec.Service
		if !ok || !s.Ready || s.Members < running || !announced {
			late = append(late, vm.Spec.Name+"("+s.Reason+" members="+strconv.Itoa(s.Members)+")")
		}
	}
	return strings.Join(late, " ")
}

// DumpSilent dumps the nodes that run and do not answer.
func (m *Mesh) DumpSilent() {
	for _, vm := range m.VMs {
		if _, ok := m.Status(vm); !ok && vm.Node.Running() {
			vm.Node.Dump()
		}
	}
}

// SetFaults switches the log's faults.
func (m *Mesh) SetFaults(f logserver.Faults) {
	body, _ := json.Marshal(f)
	m.insist(m.LogURL+"/faults", body)
}

// Misbehave sets an upstream's behaviour.
func (m *Mesh) Misbehave(vm *VM, behaviour any) {
	body, _ := json.Marshal(behaviour)
	m.insist("http://"+vm.Address+"/standin/behaviour", body)
}

// RelayFault sends a fault to the relay before a node.
func (m *Mesh) RelayFault(vm *VM, path string) {
	m.insist("http://"+vm.RelayControl+path, nil)
}

// Entries returns the addresses for callers of the running nodes.
func (m *Mesh) Entries() []string {
	var all []string
	for _, vm := range m.VMs {
		if vm.Node.Running() {
			all = append(all, vm.Listen)
		}
	}
	return all
}

// Find returns a VM by name, or nil.
func (m *Mesh) Find(name string) *VM {
	for _, vm := range m.VMs {
		if vm.Spec.Name == name {
			return vm
		}
	}
	return nil
}

// Stop ends every process.
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
