package stutterer

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/tamarackpitch/tamarackpitch/platform/standin"
)

const (
	// probePause is the longest pause between two probes of a node, and probeDeadline their deadline.
	probePause    = 120 * time.Millisecond
	probeDeadline = 500 * time.Millisecond
	// unknownPrefix is that of a route that no version has.
	unknownPrefix = "/probe-none/"
	// recentVersions is how many versions back a probe route was added, moved or removed that is probed most.
	recentVersions = 5
	// Probes are on a route that a recent version changed with the probability recentChance, and on one that no version has with
	// the probability unknownChance. The others are on any route that there was.
	recentChance  = 0.7
	unknownChance = 0.05
)

// prober sends probes to the node of a VM, one after the other.
type prober struct {
	vm     *vm
	drawer *drawer
	sent   int
	// process numbers the process that the evidence is of.
	process  int
	evidence evidence
	done     chan struct{}
}

func newProber(v *vm) *prober {
	return &prober{vm: v, drawer: v.soak.newDrawer(proberStream + uint64(v.number)), done: make(chan struct{})}
}

// loop sends probes until the soak stops.
func (p *prober) loop() {
	defer close(p.done)
	for !p.vm.soak.stopped() {
		p.send()
		time.Sleep(p.drawer.upTo(probePause))
	}
}

// send sends a probe and judges its handling.
func (p *prober) send() {
	l := p.vm.soak.ledger
	before := p.vm.presentNow()
	conn, err := p.vm.dial()
	if err != nil {
		l.count("probes-not-connected")
		return
	}
	defer conn.close()
	p.sent++
	t := target{prefix: p.draw(), service: "any service", routeType: standin.RouteIdempotent, idempotent: true}
	q := t.request(fmt.Sprintf("probe-%d-%d", p.vm.number, p.sent), probeDeadline, p.drawer)
	sent := time.Now()
	a := conn.call(q, "a prober")
	answered := time.Now()
	after := p.vm.presentNow()
	l.count("probes")
	if before.process != after.process {
		return
	}
	bound := before == after && before.bound(sent)
	for _, service := range l.handlingOf(conn.last, a) {
		p.judge(probe{prefix: t.prefix, service: service, sent: sent}, q.id, before.process, bound, answered)
	}
}

// judge judges the handling of a probe by a process, for which the bounds of the platform may hold.
func (p *prober) judge(b probe, id string, process int, bound bool, answered time.Time) {
	s := p.vm.soak
	if process != p.process {
		p.process, p.evidence = process, evidence{}
	}
	all := s.versions.snapshot()
	b.shown = p.evidence.at(b.sent)
	if bound {
		b.required = s.versions.required(b.sent)
	}
	s.ledger.countProbe(b)
	for _, v := range b.judge(all) {
		s.ledger.addProbeViolation(v, "request", id, "vm", p.vm.number, "process", process, "sent", b.sent.UTC().Format(clockFormat),
			"answered", answered.UTC().Format(clockFormat), "era", s.platform.Era())
	}
	p.evidence.add(b, all, answered)
}

// draw draws the prefix of a route to probe.
func (p *prober) draw() string {
	if p.drawer.hit(unknownChance) {
		return unknownPrefix
	}
	all := p.vm.soak.versions.snapshot()
	prefixes := map[string]bool{}
	if p.drawer.hit(recentChance) {
		all = all[max(0, len(all)-recentVersions):]
		addChanged(prefixes, all)
	} else {
		for _, v := range all {
			prefixes[v.ownPrefix()] = true
		}
	}
	if len(prefixes) == 0 {
		return unknownPrefix
	}
	sorted := slices.Sorted(maps.Keys(prefixes))
	return sorted[p.drawer.random.IntN(len(sorted))]
}

// addChanged adds the prefixes of the probe routes in which one of the versions differs from the one before it.
func addChanged(prefixes map[string]bool, all []version) {
	for i := 1; i < len(all); i++ {
		last, next := all[i-1].services, all[i].services
		for prefix := range last {
			if next[prefix] != last[prefix] {
				prefixes[prefix] = true
			}
		}
		for prefix := range next {
			if next[prefix] != last[prefix] {
				prefixes[prefix] = true
			}
		}
	}
}
