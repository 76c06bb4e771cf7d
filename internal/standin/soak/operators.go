package soak

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/operator"
	"github.com/tamarackpitch/tamarackpitch/internal/standin/caller"
	"github.com/tamarackpitch/tamarackpitch/internal/standin/harness"
	"github.com/tamarackpitch/tamarackpitch/internal/standin/upstream"
	"github.com/tamarackpitch/tamarackpitch/pkg/decoder"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// publishTimeout bounds each operator command.
const publishTimeout = 10 * time.Second

const soakPresets = `
kind: preset
name: ordinary
classes: [payments, status, manifests, lookups]
step-interval: 500ms
watch: 1s
min-calls: 10
first-share: 0.05
retry-budget: 0.1
queue-length: 64
rollback-threshold: 9
---
kind: preset
name: peak
classes: [payments, status, manifests, lookups]
step-interval: 1s
watch: 1s
min-calls: 10
first-share: 0.05
retry-budget: 0.05
queue-length: 128
rollback-threshold: 8
---
kind: active-preset
name: ordinary
`

func (s *Soak) decode(text string) ([]*schema.Declaration, error) {
	return decoder.Decoder{Now: time.Now()}.Decode("soak", []byte(text))
}

// publishBase publishes the example declarations of the cooperative with the soak's presets and waits until every
// node applies them.
func (s *Soak) publishBase() error {
	examples := filepath.Join(s.config.Examples, "cooperative")
	base, err := decoder.Decoder{Now: time.Now()}.DecodePaths([]string{filepath.Join(examples, "services.yaml"), filepath.Join(examples, "routes.yaml")})
	if err != nil {
		return err
	}
	presets, err := s.decode(soakPresets)
	if err != nil {
		return err
	}
	s.accepted, err = s.mesh.Publish(append(base, presets...))
	return err
}

// publishInBackground decodes the text, publishes it in the background and passes the result to handle.
func (s *Soak) publishInBackground(text string, handle func(operator.PublishResult, error)) {
	declarations, err := s.decode(text)
	if err != nil {
		s.reportViolation("decode declaration: %v", err)
		return
	}
	s.start(func() {
		ctx, cancel := context.WithTimeout(context.Background(), publishTimeout)
		defer cancel()
		handle(s.mesh.Operator.Publish(ctx, declarations))
	})
}

// publish publishes the text in the background and records the accepted version.
func (s *Soak) publish(text string) {
	s.publishInBackground(text, func(accepted operator.PublishResult, err error) {
		if err != nil {
			s.logf("  publish: %v", err)
			return
		}
		s.recordAccepted(accepted)
		s.logf("  accepted version %d", accepted.Version)
	})
}

// recordAccepted keeps the highest accepted version, which settle waits for.
func (s *Soak) recordAccepted(accepted operator.PublishResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accepted = max(s.accepted, accepted.Version)
}

func (s *Soak) publishRoute() {
	s.publish(fmt.Sprintf(`
kind: route
name: extra-%d
service: status-desk
path-prefix: /extra/%d
methods: [GET]
idempotent: true
class: lookups
`, s.random.IntN(30), s.random.IntN(30)))
}

// publishRace publishes twice concurrently, so that both may be based on the same version.
func (s *Soak) publishRace() {
	s.publishRoute()
	s.publishRoute()
}

// publishInvalid publishes one record with a valid route and a route to a missing service. It must be rejected as a
// whole.
func (s *Soak) publishInvalid() {
	text := fmt.Sprintf(`
kind: route
name: half-%d
service: status-desk
path-prefix: /half
methods: [GET]
idempotent: true
class: lookups
---
kind: route
name: broken
service: missing
path-prefix: /broken
methods: [GET]
idempotent: true
class: lookups
`, s.random.IntN(1000))
	s.publishInBackground(text, func(_ operator.PublishResult, err error) {
		var operatorError *operator.Error
		if err == nil {
			s.reportViolation("a record with a route to a missing service was accepted")
		} else if errors.As(err, &operatorError) {
			s.logf("  refused: %s", operatorError.Kind)
		}
	})
}

func (s *Soak) switchPreset() {
	names := []string{"ordinary", "peak"}
	s.publish("kind: active-preset\nname: " + names[s.random.IntN(len(names))])
}

func (s *Soak) startRollout(service, from, to string) {
	s.rollouts++
	s.publish(fmt.Sprintf("kind: rollout\nname: %s-%d\nservice: %s\nfrom: %s\nto: %s\nwithin: 20s", service, s.rollouts, service, from, to))
}

// setVersionBehaviour sets the behaviour of every running upstream of a version.
func (s *Soak) setVersionBehaviour(service, version string, b upstream.Behaviour) {
	for _, vm := range s.mesh.VMs {
		if vm.Spec.Service == service && vm.Spec.Version == version && vm.Upstream.Running() {
			s.mesh.SetBehaviour(vm, b)
		}
	}
}

func (s *Soak) startGoodRollout() {
	s.setVersionBehaviour("status-desk", "v2", upstream.Behaviour{LatencyMs: 3})
	s.startRollout("status-desk", "v1", "v2")
}

func (s *Soak) startBadRollout() {
	s.setVersionBehaviour("dispatch", "v2", upstream.Behaviour{LatencyMs: 3, FailRate: 0.7})
	s.startRollout("dispatch", "v1", "v2")
}

// drainNode drains a random node for a few seconds.
func (s *Soak) drainNode() {
	vm := s.reserveVM()
	if vm == nil {
		return
	}
	pause := s.randomPause(time.Second, 4*time.Second)
	s.start(func() {
		defer s.releaseVM(vm)
		s.setDraining(vm, true)
		time.Sleep(pause)
		s.setDraining(vm, false)
	})
}

func (s *Soak) setDraining(vm *harness.VM, draining bool) {
	ctx, cancel := context.WithTimeout(context.Background(), publishTimeout)
	defer cancel()
	if accepted, err := s.mesh.Operator.Drain(ctx, vm.Spec.Name, draining); err == nil {
		s.recordAccepted(accepted)
	}
}

// evacuateZone evacuates the availability zone of a random VM for a few seconds. It does nothing while one is evacuated.
func (s *Soak) evacuateZone() {
	s.mu.Lock()
	busy := s.evacuating
	s.evacuating = true
	s.mu.Unlock()
	if busy {
		return
	}
	zone := s.mesh.VMs[s.random.IntN(len(s.mesh.VMs))].Spec.Zone
	pause := s.randomPause(time.Second, 4*time.Second)
	s.start(func() {
		s.setEvacuated(zone, true)
		time.Sleep(pause)
		s.setEvacuated(zone, false)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.evacuating = false
	})
}

func (s *Soak) setEvacuated(zone string, evacuated bool) {
	ctx, cancel := context.WithTimeout(context.Background(), publishTimeout)
	defer cancel()
	if accepted, err := s.mesh.Operator.Evacuate(ctx, zone, evacuated); err == nil {
		s.recordAccepted(accepted)
	}
}

// sendCrashRequest repeatedly sends one request that crashes every upstream that runs it.
func (s *Soak) sendCrashRequest() {
	const sends = 12
	entries := s.mesh.Entries()
	if len(entries) == 0 {
		return
	}
	target := caller.Target{Method: "GET", Path: fmt.Sprintf("/status/poison?crash=%d", s.random.Uint64())}
	s.start(func() {
		for i := range sends {
			s.resender.caller.Call("poison", target, entries[i%len(entries)])
			time.Sleep(50 * time.Millisecond)
		}
		s.checkCrashCount()
	})
}

// maxCrashes is the number of upstreams that one request may crash before every node refuses it.
const maxCrashes = 3

// checkCrashCount restarts the upstreams that the crash request ended and checks their number.
func (s *Soak) checkCrashCount() {
	const crashExitCode = 3
	crashed := 0
	for _, vm := range s.mesh.VMs {
		if !vm.Upstream.Running() && vm.Upstream.ExitCode() == crashExitCode {
			crashed++
			s.restart(vm.Upstream)
		}
	}
	if crashed > maxCrashes {
		s.reportViolation("one request crashed %d upstreams", crashed)
	}
	s.logf("  one request crashed %d upstreams", crashed)
}
