package main

import (
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/tamarackpitch/tamarackpitch/platform/standin"
)

const (
	// outageTime is how long the store is down, and outageLead how long it has been when the backend leaves.
	outageTime = 4500 * time.Millisecond
	outageLead = 500 * time.Millisecond
	// killAfter is the time between the acknowledgement and the kill.
	killAfter = time.Second
	// lateness is how late the delayed heartbeat arrives.
	lateness = 4200 * time.Millisecond
	// serveAfterLeave is how long the backend that has left still serves.
	serveAfterLeave = 10 * time.Second
)

// runLeaveLost has a backend leave while the store is down, and all processes killed a second after its node has acknowledged that.
// A heartbeat that the backend had sent before arrives late. With VARIANT=instant the store is well, and the kill comes as soon as the
// acknowledgement has; with VARIANT=outage and VARIANT=kill only one of the two happens.
func runLeaveLost(rec *record, dir string, trouble bool) (bool, error) {
	variant := os.Getenv("VARIANT")
	outage := trouble && (variant == "" || variant == "outage")
	kill := trouble && variant != "outage"
	wait := killAfter
	if variant == "instant" {
		wait = 0
	}
	g, err := newMesh(rec, dir, "desk", "desk", "desk", "desk")
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

	left := g.backends[0]
	close(left.stop)
	var storeBack time.Time
	if outage {
		g.store.SetFaults(standin.Faults{Disconnect: true})
		rec.add("store: down")
		storeBack = time.Now().Add(outageTime)
		time.AfterFunc(outageTime, func() {
			g.store.SetFaults(standin.Faults{})
			rec.add("store: well again")
		})
	}
	time.Sleep(outageLead)
	delayed := left.heartbeat()
	status := left.leave()
	acknowledged := time.Now()
	if status != http.StatusOK {
		return false, fmt.Errorf("the DELETE was answered %d", status)
	}
	inTouch := acknowledged.Add(drainTime)
	if kill {
		time.Sleep(wait)
		for _, m := range g.machines {
			m.signal(syscall.SIGKILL)
		}
		rec.add("all processes killed %.4f s after the acknowledgement", time.Since(acknowledged).Seconds())
	}
	rec.add("backend %s: DELETE answered %d at %.3f", left.id, status, acknowledged.Sub(rec.start).Seconds())
	if kill {
		for _, m := range g.machines {
			<-m.exited
		}
		time.Sleep(restartDelay)
		for _, m := range g.machines {
			if err := m.start(); err != nil {
				return false, err
			}
		}
		inTouch = time.Now().Add(contactTime)
	}
	if stable := storeBack.Add(contactTime); outage && stable.After(inTouch) {
		inTouch = stable
	}
	time.Sleep(time.Until(acknowledged.Add(lateness)))
	rec.add("backend %s: heartbeat sent before the DELETE arrives, answered %d", left.id, left.call(http.MethodPut, delayed))
	time.Sleep(time.Until(acknowledged.Add(serveAfterLeave)))
	close(stop)
	c.wait.Wait()

	count, served := 0, 0
	for _, r := range c.all {
		if r.status == http.StatusOK && r.sentAt.After(inTouch) {
			served++
		}
		if at, ran := left.ranAt(r.id); ran && r.sentAt.After(inTouch) && at.Sub(acknowledged) > drainTime {
			count++
			rec.add("DRAIN broken: %s, sent %.3f s after the acknowledgement to %s, in touch, reached backend %s", r.id,
				r.sentAt.Sub(acknowledged).Seconds(), r.entry.name, left.id)
		}
	}
	rec.add("%d requests of machines in touch served, %d of them by the backend that had left", served, count)
	fmt.Printf("%d requests of machines in touch served, %d by the backend that had left\n", served, count)
	if served == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return count > 0, nil
}
