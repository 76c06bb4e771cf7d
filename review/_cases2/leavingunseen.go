package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// beatLateness is how late the heartbeats of one backend arrive.
	beatLateness = 8 * time.Second
	// leaseTime is the lease of deploy/node.yaml.
	leaseTime = 5 * time.Second
	// requestWork is how long a request takes.
	requestWork = 700 * time.Millisecond
)

// runLeavingUnseen has the heartbeats of a backend arrive late, so that its lease lapses while it runs requests. It answers them
// after that, and says that it leaves. Its earlier heartbeats arrive then.
func runLeavingUnseen(rec *record, dir string, trouble bool) (bool, error) {
	// Three machines in each zone: calls stay in their zone, so that those of the backend's zone reach it.
	g, err := newMesh(rec, dir, "desk", "desk", "desk", "desk", "desk", "desk", "desk", "desk", "desk")
	if err != nil {
		return false, err
	}
	defer g.close()
	if err := g.configure("r1", []map[string]any{route("status", "/status/", "idempotent", "desk", 2.5)}, "desk"); err != nil {
		return false, err
	}
	for _, b := range g.backends {
		b.work = requestWork
	}
	if err := g.startAll(); err != nil {
		return false, err
	}
	c := &clients{rec: rec}
	stop := make(chan struct{})
	for _, m := range g.machines {
		go c.load(m, 10, stop, http.MethodGet, "/status/1", "", 2500*time.Millisecond)
	}
	time.Sleep(contactTime + 2*time.Second)

	b := g.backends[0]
	close(b.stop)
	b.call(http.MethodPut, b.heartbeat())
	last := time.Now()
	rec.add("backend %s: last heartbeat in time", b.id)
	at := func(d time.Duration) { time.Sleep(time.Until(last.Add(d))) }
	beats := make(chan struct{})
	go func() {
		defer close(beats)
		for i := 1; i <= 14; i++ {
			at(time.Duration(i) * heartbeatTime)
			body := b.heartbeat()
			late := time.Duration(0)
			if trouble {
				late = beatLateness
			}
			time.AfterFunc(late, func() { rec.add("backend %s: heartbeat %s answered %d", b.id, body, b.call(http.MethodPut, body)) })
		}
	}()
	at(leaseTime + 400*time.Millisecond)
	b.mu.Lock()
	b.leaving, b.state = true, "draining"
	b.mu.Unlock()
	rec.add("backend %s: says in all answers that it leaves, and in its heartbeats", b.id)
	at(beatLateness + 4*time.Second)
	close(stop)
	<-beats
	c.wait.Wait()

	passed := map[*machine]time.Time{}
	for _, r := range c.all {
		if first, known := passed[r.entry]; r.leaving && (!known || r.answeredAt.Before(first)) {
			passed[r.entry] = r.answeredAt
		}
	}
	count, served := 0, 0
	for _, r := range c.all {
		if r.status == http.StatusOK {
			served++
		}
		first, known := passed[r.entry]
		if _, ran := b.ranAt(r.id); ran && known && r.sentAt.Sub(first) > drainTime {
			count++
			rec.add("DRAIN broken: %s reached backend %s from %s, sent %.3f s after %s had passed on an answer with Server-Leaving", r.id, b.id,
				r.entry.name, r.sentAt.Sub(first).Seconds(), r.entry.name)
		}
	}
	rec.add("%d requests served; %d sent to the backend later than DrainS after its Server-Leaving was passed on", served, count)
	fmt.Printf("%d requests served; answers with Server-Leaving passed on by %d machines; %d requests reached the backend after that\n", served,
		len(passed), count)
	if served == 0 || len(passed) == 0 {
		return false, fmt.Errorf("no answer with Server-Leaving was passed on")
	}
	return count > 0, nil
}
