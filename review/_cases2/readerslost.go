package main

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/ranker"
)

const (
	configApplyTime = 2 * time.Second
	// lostMachines is how many of the 14 machines lose their processes.
	lostMachines = 11
)

// lostNames returns the machines whose processes are killed: those that read the log, one in each zone, then those that would take
// over from them first.
func (g *mesh) lostNames() []string {
	identity := func(s string) string { return s }
	var names, lost []string
	inZone := map[string][]string{}
	for _, m := range g.machines {
		names = append(names, m.name)
		inZone[m.zone] = append(inZone[m.zone], m.name)
	}
	for _, z := range zones {
		lost = append(lost, ranker.Rank("log-reader/"+z, inZone[z], identity)[0])
	}
	for _, n := range ranker.Rank("log-standby", names, identity) {
		if len(lost) < lostMachines && !slices.Contains(lost, n) {
			lost = append(lost, n)
		}
	}
	return lost
}

// runReadersLost kills the processes of most machines, those that read the log among them, just before a configuration moves a route
// to another service.
func runReadersLost(rec *record, dir string, trouble bool) (bool, error) {
	var services []string
	for i := range 14 {
		services = append(services, []string{"desk", "ledger"}[i%2])
	}
	g, err := newMesh(rec, dir, services...)
	if err != nil {
		return false, err
	}
	defer g.close()
	routes := func(to string, more ...map[string]any) []map[string]any {
		return append(more, route("moved", "/moved/", "idempotent", to, 2))
	}
	other := route("other", "/other/", "idempotent", "desk", 2)
	if err := g.configure("r1", routes("desk"), "desk", "ledger"); err != nil {
		return false, err
	}
	if err := g.startAll(); err != nil {
		return false, err
	}
	time.Sleep(contactTime + 3*time.Second)
	lost := g.lostNames()
	c := &clients{rec: rec}
	stop := make(chan struct{})
	for _, m := range g.machines {
		if !slices.Contains(lost, m.name) {
			go c.load(m, 40, stop, http.MethodGet, "/moved/1", "", 2*time.Second)
		}
	}
	time.Sleep(contactTime + time.Second)
	if err := g.configure("r2", routes("desk", other), "desk", "ledger"); err != nil {
		return false, err
	}
	time.Sleep(15 * time.Millisecond)
	if trouble {
		for _, m := range g.machines {
			if slices.Contains(lost, m.name) {
				m.signal(syscall.SIGKILL)
			}
		}
		rec.add("processes of %v killed", lost)
	}
	time.Sleep(5 * time.Millisecond)
	if err := g.configure("r3", routes("ledger", other), "desk", "ledger"); err != nil {
		return false, err
	}
	acknowledged := time.Now()
	time.Sleep(2 * configApplyTime)
	close(stop)
	c.wait.Wait()

	late, served := 0, 0
	var latest time.Duration
	for _, r := range c.all {
		if r.status == http.StatusOK {
			served++
		}
		for _, b := range g.backends {
			if _, ran := b.ranAt(r.id); !ran || b.machine.service != "desk" {
				continue
			}
			age := r.sentAt.Sub(acknowledged)
			latest = max(latest, age)
			if age > configApplyTime {
				late++
				rec.add("CONFIG broken: %s, sent to %s %.3f s after the acknowledgement of r3, was run by the old service, backend %s", r.id,
					r.entry.name, age.Seconds(), b.id)
			}
		}
	}
	rec.add("%d requests served; the last one run by the old service was sent %v after the acknowledgement", served, latest)
	fmt.Printf("%d requests served; %d run by the old service were sent later than ConfigApplyS, the last one after %v\n", served, late,
		latest.Round(time.Millisecond))
	if served == 0 {
		return false, errors.New("no request was served")
	}
	return late > 0, nil
}
