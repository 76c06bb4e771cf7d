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

// publishBase puts the cooperative's declarations in force.
func (s *Soak) publishBase() error {
	e := filepath.Join(s.config.Examples, "cooperative")
	base, err := decoder.Decoder{Now: time.Now()}.DecodePaths([]string{filepath.Join(e, "services.yaml"), filepath.Join(e, "routes.yaml")})
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

// attempt publishes one text in the background and hands over what became of it.
func (s *Soak) attempt(text string, then func(operator.PublishResult, error)) {
	declarations, err := s.decode(text)
	if err != nil {
		s.violate("declaration refused: %v", err)
		return
	}
	s.start(func() {
		ctx, cancel := context.WithTimeout(context.Background(), publishTimeout)
		defer cancel()
		then(s.mesh.Operator.Publish(ctx, declarations))
	})
}

// publish publishes one text and notes the accepted version.
func (s *Soak) publish(text string) {
	s.attempt(text, func(accepted operator.PublishResult, err error) {
		if err != nil {
			s.log("  publish: %v", err)
			return
		}
		s.note(accepted)
		s.log("  accepted version %d", accepted.Version)
	})
}

// note remembers the newest accepted version.
func (s *Soak) note(accepted operator.PublishResult) {
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

func (s *Soak) publishRace() {
	s.publishRoute()
	s.publishRoute()
}

// publishInvalid publishes a record whose second half names a missing service.
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
	s.attempt(text, func(_ operator.PublishResult, err error) {
		var own *operator.Error
		if err == nil {
			s.violate("a record with a dangling route was accepted")
		} else if errors.As(err, &own) {
			s.log("  refused: %s", own.Kind)
		}
	})
}

func (s *Soak) switchPreset() {
	names := []string{"ordinary", "peak"}
	s.publish("kind: active-preset\nname: " + names[s.random.IntN(len(names))])
}

func (s *Soak) rollout(service, from, to string) {
	s.rollouts++
	s.publish(fmt.Sprintf("kind: rollout\nname: %s-%d\nservice: %s\nfrom: %s\nto: %s\nwithin: 20s", service, s.rollouts, service, from, to))
}

// setVersion makes every upstream of a version behave in one way.
func (s *Soak) setVersion(service, version string, b upstream.Behaviour) {
	for _, vm := range s.mesh.VMs {
		if vm.Spec.Service == service && vm.Spec.Version == version && vm.Upstream.Running() {
			s.mesh.Misbehave(vm, b)
		}
	}
}

func (s *Soak) rolloutGood() {
	s.setVersion("status-desk", "v2", upstream.Behaviour{LatencyMs: 3})
	s.rollout("status-desk", "v1", "v2")
}

func (s *Soak) rolloutBad() {
	s.setVersion("dispatch", "v2", upstream.Behaviour{LatencyMs: 3, FailRate: 0.7})
	s.rollout("dispatch", "v1", "v2")
}

func (s *Soak) drainNode() {
	vm := s.claim()
	if vm == nil {
		return
	}
	pause := s.pause(time.Second, 4*time.Second)
	s.start(func() {
		defer s.release(vm)
		s.drain(vm, true)
		time.Sleep(pause)
		s.drain(vm, false)
	})
}

func (s *Soak) drain(vm *harness.VM, draining bool) {
	ctx, cancel := context.WithTimeout(context.Background(), publishTimeout)
	defer cancel()
	if accepted, err := s.mesh.Operator.Drain(ctx, vm.Spec.Name, draining); err == nil {
		s.note(accepted)
	}
}

// crashRequest sends a request that crashes every upstream that runs it, again and again.
func (s *Soak) crashRequest() {
	const sends = 12
	entries := s.mesh.Entries()
	if len(entries) == 0 {
		return
	}
	target := caller.Target{Method: "GET", Path: fmt.Sprintf("/status/poison?crash=%d", s.random.Uint64())}
	s.start(func() {
		for i := range sends {
			s.resend.caller.Call("poison", target, entries[i%len(entries)])
			time.Sleep(50 * time.Millisecond)
		}
		s.countCrashed()
	})
}

// maxCrashes is the number of upstreams that one request may crash before it is refused everywhere.
const maxCrashes = 3

func (s *Soak) countCrashed() {
	const crashExitCode = 3
	crashed := 0
	for _, vm := range s.mesh.VMs {
		if !vm.Upstream.Running() && vm.Upstream.ExitCode() == crashExitCode {
			crashed++
			s.restart(vm.Upstream)
		}
	}
	if crashed > maxCrashes {
		s.violate("one request crashed %d upstreams", crashed)
	}
	s.log("  one request crashed %d upstreams", crashed)
}
