package soak

import (
	"strings"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/standin/harness"
	"github.com/tamarackpitch/tamarackpitch/internal/standin/logserver"
)

// action is one kind of fault or operator command that the soak injects.
type action struct {
	name string
	// weight is the action's relative frequency.
	weight int
	run    func(*Soak)
}

// actions lists every action. A name that contains "graceful" marks an action that must not cut off any call.
var actions = []action{
	{"kill-node", 6, func(s *Soak) { s.disturbVM(s.killNode) }},
	{"kill-upstream", 6, func(s *Soak) { s.disturbVM(s.killUpstream) }},
	{"kill-vm", 3, func(s *Soak) { s.disturbVM(s.killVM) }},
	{"kill-herd", 1, (*Soak).killHerd},
	{"freeze-node", 4, func(s *Soak) { s.disturbVM(s.freezeNode) }},
	{"freeze-upstream", 3, func(s *Soak) { s.disturbVM(s.freezeUpstream) }},
	{"graceful-node", 4, func(s *Soak) { s.disturbVM(s.restartNodeGracefully) }},
	{"graceful-upstream", 4, func(s *Soak) { s.disturbVM(s.restartUpstreamGracefully) }},
	{"cut-connections", 4, func(s *Soak) { s.disturbRelay("/cut") }},
	{"silence-connections", 4, func(s *Soak) { s.disturbRelay("/silence") }},
	{"log-outage", 3, func(s *Soak) { s.injectLogFault(logserver.Faults{Outage: true}) }},
	{"log-slow", 2, func(s *Soak) { s.injectLogFault(logserver.Faults{SlowMs: 800}) }},
	{"log-lose-answers", 2, func(s *Soak) { s.injectLogFault(logserver.Faults{LoseAnswers: true}) }},
	{"log-retention", 1, func(s *Soak) { s.injectLogFault(logserver.Faults{Retain: 20}) }},
	{"publish-graceful", 6, (*Soak).publishRoute},
	{"publish-race-graceful", 4, (*Soak).publishRace},
	{"publish-invalid-graceful", 3, (*Soak).publishInvalid},
	{"preset-graceful", 3, (*Soak).switchPreset},
	{"rollout-good-graceful", 3, (*Soak).startGoodRollout},
	{"rollout-bad", 3, (*Soak).startBadRollout},
	{"drain-graceful", 2, (*Soak).drainNode},
	{"evacuate-graceful", 2, (*Soak).evacuateZone},
	{"crash-request", 1, (*Soak).sendCrashRequest},
}

// allowed reports whether Config.Only admits an action.
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

// runRandomAction starts one allowed action, chosen at random by weight.
func (s *Soak) runRandomAction() {
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
			s.logf("action %s", a.name)
			a.run(s)
			return
		}
	}
}

// reserveVM reserves a random VM for an action until releaseVM. It returns nil if that VM is already reserved or if
// more than a third of all VMs are.
func (s *Soak) reserveVM() *harness.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.disturbed) > len(s.mesh.VMs)/3 {
		return nil
	}
	vm := s.mesh.VMs[s.random.IntN(len(s.mesh.VMs))]
	if s.disturbed[vm] {
		return nil
	}
	s.disturbed[vm] = true
	return vm
}

func (s *Soak) releaseVM(vm *harness.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.disturbed, vm)
}

func (s *Soak) randomPause(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)))
}

// disturbVM runs an action on a random VM in the background, or does nothing if no VM can be reserved.
func (s *Soak) disturbVM(disturb func(*harness.VM, time.Duration)) {
	vm := s.reserveVM()
	if vm == nil {
		return
	}
	pause := s.randomPause(300*time.Millisecond, 5*time.Second)
	s.logf("  on %s for %s", vm.Spec.Name, pause.Round(time.Millisecond))
	s.start(func() {
		defer s.releaseVM(vm)
		disturb(vm, pause)
	})
}

// restart starts an exited process again. An exit caused by an invariant violation is reported.
func (s *Soak) restart(p *harness.Process) {
	if p.ExitCode() == fatalExitCode {
		s.reportViolation("%s exited because of an invariant violation", p.Name)
	}
	if err := p.Restart(); err != nil {
		s.reportViolation("%v", err)
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

// killHerd kills up to a third of the VMs at once.
func (s *Soak) killHerd() {
	for range len(s.mesh.VMs) / 3 {
		s.disturbVM(s.killVM)
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

const shutdownTimeout = 90 * time.Second

func (s *Soak) restartNodeGracefully(vm *harness.VM, pause time.Duration) {
	if !vm.Node.Terminate(shutdownTimeout) {
		s.reportViolation("node %s did not exit within %s of SIGTERM", vm.Spec.Name, shutdownTimeout)
		vm.Node.Kill()
	}
	time.Sleep(pause / 4)
	s.restart(vm.Node)
}

func (s *Soak) restartUpstreamGracefully(vm *harness.VM, pause time.Duration) {
	if !vm.Upstream.Terminate(shutdownTimeout) {
		s.reportViolation("upstream %s did not exit within %s of SIGTERM", vm.Spec.Name, shutdownTimeout)
		vm.Upstream.Kill()
	}
	time.Sleep(pause / 4)
	s.restart(vm.Upstream)
}

// disturbRelay sends a fault to the relay of a random VM that has one.
func (s *Soak) disturbRelay(path string) {
	for range len(s.mesh.VMs) {
		vm := s.mesh.VMs[s.random.IntN(len(s.mesh.VMs))]
		if vm.Relay != nil {
			s.logf("  on %s", vm.Spec.Name)
			s.mesh.RelayFault(vm, path)
			return
		}
	}
}

// injectLogFault makes the log faulty for a few seconds.
func (s *Soak) injectLogFault(f logserver.Faults) {
	pause := s.randomPause(time.Second, 6*time.Second)
	s.mesh.SetFaults(f)
	s.start(func() {
		time.Sleep(pause)
		s.mesh.SetFaults(logserver.Faults{})
	})
}
