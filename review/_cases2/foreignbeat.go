package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// runForeignBeat has a heartbeat of another writer arrive, in which a field is missing. The backend that it names reports then that it
// is draining.
func runForeignBeat(rec *record, dir string, trouble bool) (bool, error) {
	g, err := newMesh(rec, dir, "desk", "desk", "desk")
	if err != nil {
		return false, err
	}
	defer g.close()
	if err := g.configure("r1", []map[string]any{route("status", "/status/", "idempotent", "desk", 2)}, "desk"); err != nil {
		return false, err
	}
	if err := g.startAll(); err != nil {
		return false, err
	}
	c := &clients{rec: rec}
	stop := make(chan struct{})
	for _, m := range g.machines {
		go c.load(m, 20, stop, http.MethodGet, "/status/1", "", 2*time.Second)
	}
	time.Sleep(contactTime + 2*time.Second)

	b := g.backends[0]
	if trouble {
		foreign, err := json.Marshal(map[string]any{"Address": b.machine.at(portApp), "born": b.born,
			"Info":   map[string]any{"Service": b.machine.service, "Version": b.version, "Slots": 9},
			"Status": map[string]any{"State": "ready", "Sequence": 100000, "ColdRemainingS": 0}})
		if err != nil {
			return false, err
		}
		rec.add("another writer: heartbeat without Zone: %s answered %d", foreign, b.call(http.MethodPut, foreign))
	}
	time.Sleep(400 * time.Millisecond)
	b.mu.Lock()
	b.state = "draining"
	b.mu.Unlock()
	body := b.heartbeat()
	status := b.call(http.MethodPut, body)
	acknowledged := time.Now()
	rec.add("backend %s: draining, heartbeat %s answered %d", b.id, body, status)
	if status != http.StatusOK {
		return false, fmt.Errorf("the heartbeat was answered %d", status)
	}
	time.Sleep(6 * time.Second)
	close(stop)
	c.wait.Wait()

	count, served := 0, 0
	for _, r := range c.all {
		if r.status == http.StatusOK {
			served++
		}
		if _, ran := b.ranAt(r.id); ran && r.sentAt.Sub(acknowledged) > drainTime {
			count++
			rec.add("DRAIN broken: %s, sent to %s %.3f s after the acknowledgement, reached backend %s", r.id, r.entry.name,
				r.sentAt.Sub(acknowledged).Seconds(), b.id)
		}
	}
	rec.add("%d requests served; %d reached the draining backend later than DrainS after the acknowledgement", served, count)
	fmt.Printf("%d requests served; %d reached the draining backend later than DrainS after the acknowledgement\n", served, count)
	if served == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return count > 0, nil
}
