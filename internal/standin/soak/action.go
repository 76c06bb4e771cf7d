package soak

import (
	"strings"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/standin/harness"
	"github.com/tamarackpitch/tamarackpitch/internal/standin/logserver"
)

// action is one kind of disturbance.
type action struct {
	name   string
	weight int
	do     func(*Soak)
}

// actions lists every disturbance.
var actions = []action{
	{"kill-node", 6, func(s *Soak) { s.onNode(s.killNode) }},
	{"kill-upstream", 6, func(s *Soak) { s.onNode(s.killUpstream) }},
	{"kill-vm", 3, func(s *Soak) { s.onNode(s.killVM) }},
	{"kill-herd", 1, (*Soak).killHerd},
	{"freeze-node", 4, func(s *Soak) { s.onNode(s.freezeNode) }},
	{"freeze-upstream", 3, func(s *Soak) { s.onNode(s.freezeUpstream) }},
	{"graceful-node", 4, func(s *Soak) { s.onNode(s.gracefulNode) }},
	{"graceful-upstream", 4, func(s *Soak) { s.onNode(s.gracefulUpstream) }},
	{"cut-connections", 4, func(s *Soak) { s.onRelay("/cut") }},
	{"silence-connections", 4, func(s *Soak) { s.onRelay("/silence") }},
	{"log-outage", 3, func(s *Soak) { s.logFault(logserver.Faults{Outage: true}) }},
	{"log-slow", 2, func(s *Soak) { s.logFault(logserver.Faults{SlowMs: 800}) }},
	{"log-lose-answers", 2, func(s *Soak) { s.logFault(logserver.Faults{LoseAnswers: true}) }},
	{"log-retention", 1, func(s *Soak) { s.logFault(logserver.Faults{Retain: 20}) }},
	{"publish-graceful", 6, (*Soak).publishRoute},
	{"publish-race-graceful", 4, (*Soak).publishRace},
	{"publish-invalid-graceful", 3, (*Soak).publishInvalid},
	{"preset-graceful", 3, (*Soak).switchPreset},
	{"rollout-good-graceful", 3, (*Soak).rolloutGood},
	{"rollout-bad", 3, (*Soak).rolloutBad},
	{"drain-graceful", 2, (*Soak).drainNode},
	{"crash-request", 1, (*Soak).crashRequest},
}

func (s *Soak) allowed(a action) bool {
	if len(s.config.Only) == 0 {
		return true
	}
	for _, word := range s.config.Only {
		if strings.Contains(a.name, word) {
			return true
		}
	}
	return false
}

// act does one random action.
func (s *Soak) act() {
	total := 0
	for _, a := range actions {
		if s.allowed(a) {
			total += a.weight
		}
	}
	at := s.random.IntN(max(total, 1))
	for _, a := range actions {
		if !s.allowed(a) {
			continue
		}
		if at -= a.weight; at < 0 {
			s.actions[a.name]++
			s.log("action %s", a.name)
			a.do(s)
			return
		}
	}
}

// claim takes a random VM that is not being disturbed, or nil. At most a third may be disturbed at one time.
func (s *Soak) claim() *harness.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.busy) > len(s.mesh.VMs)/3 {
		return nil
	}
	vm := s.mesh.VMs[s.random.IntN(len(s.mesh.VMs))]
	if s.busy[vm] {
		return nil
	}
	s.busy[vm] = true
	return vm
}

func (s *Soak) release(vm *harness.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.busy, vm)
}

func (s *Soak) pause(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)))
}

// onNode runs a disturbance of one VM beside the others.
func (s *Soak) onNode(do func(*harness.VM, time.Duration)) {
	vm := s.claim()
	if vm == nil {
		return
	}
	pause := s.pause(300*time.Millisecond, 5*time.Second)
	s.log("  on %s for %s", vm.Spec.Name, pause.Round(time.Millisecond))
	s.start(func() {
		defer s.release(vm)
		do(vm, pause)
	})
}

func (s *Soak) restart(p *harness.Process) {
	if p.ExitCode() == fatalExitCode {
		s.violate("%s ended by a violated invariant", p.Name)
	}
	if err := p.Restart(); err != nil {
		s.violate("%v", err)
	}
}

func (s *Soak) killNode(vm *harness.VM, pause time.Duration) {
	vm.Node.Kill()
	time.Sleep(pause)
	s.restart(vm.Node)
}

func (s *Soak) killUpstream(vm *harness.VM, pause time.Duration) {
	vm.Upstream.Kill()
	time.Sleep(pause)
	s.restart(vm.Upstream)
}

func (s *Soak) killVM(vm *harness.VM, pause time.Duration) {
	vm.Upstream.Kill()
	vm.Node.Kill()
	time.Sleep(pause)
	s.restart(vm.Node)
	s.restart(vm.Upstream)
}

func (s *Soak) killHerd() {
	for range len(s.mesh.VMs) / 3 {
		s.onNode(s.killVM)
	}
}

func (s *Soak) freezeNode(vm *harness.VM, pause time.Duration) {
	vm.Node.Freeze()
	time.Sleep(pause + time.Second)
	vm.Node.Thaw()
}

func (s *Soak) freezeUpstream(vm *harness.VM, pause time.Duration) {
	vm.Upstream.Freeze()
	time.Sleep(pause)
	vm.Upstream.Thaw()
}

const gracefulTimeout = 90 * time.Second

func (s *Soak) gracefulNode(vm *harness.VM, pause time.Duration) {
	if !vm.Node.Terminate(gracefulTimeout) {
		s.violate("node %s did not end within %s", vm.Spec.Name, gracefulTimeout)
		vm.Node.Kill()
	}
	time.Sleep(pause / 4)
	s.restart(vm.Node)
}

func (s *Soak) gracefulUpstream(vm *harness.VM, pause time.Duration) {
	if !vm.Upstream.Terminate(gracefulTimeout) {
		s.violate("upstream %s was never free of requests", vm.Spec.Name)
		vm.Upstream.Kill()
	}
	time.Sleep(pause / 4)
	s.restart(vm.Upstream)
}

func (s *Soak) onRelay(path string) {
	for range len(s.mesh.VMs) {
		vm := s.mesh.VMs[s.random.IntN(len(s.mesh.VMs))]
		if vm.Relay != nil {
			s.log("  on %s", vm.Spec.Name)
			s.mesh.RelayFault(vm, path)
			return
		}
	}
}

func (s *Soak) logFault(f logserver.Faults) {
	pause := s.pause(time.Second, 6*time.Second)
	s.mesh.SetFaults(f)
	s.start(func() {
		time.Sleep(pause)
		s.mesh.SetFaults(logserver.Faults{})
	})
}
