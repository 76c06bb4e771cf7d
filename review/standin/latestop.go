package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["late-stop"] = lateStop }

// lateStop: a machine is stopped with SIGTERM while its clients use kept connections. Each client sends a second request
// once its first one is answered, more than 3 s after the signal, and its backend is done before the grace time ends.
func lateStop(d *deployment, trouble bool) (bool, error) {
	// One machine a zone: fewer than half of the zone's nodes are in while it stops, so that clients go on sending.
	d.addMachines(len(zones), serviceOrderbook)
	if err := d.startAll(9); err != nil {
		return false, err
	}
	m := d.machines[0]
	const clients = 8
	for range clients {
		// Short calls beforehand, on connections of their own, so that nothing is cold.
		c, err := dial(m)
		if err != nil {
			return false, err
		}
		c.do("client", request{method: http.MethodPost, host: host, path: pathPlace + "warm?work=300", deadline: 5 * time.Second,
			body: []byte("order")})
		_ = c.socket.Close()
	}
	stoppedAt := time.Now()
	if trouble {
		m.signal(syscall.SIGTERM)
	}
	var mu sync.Mutex
	var results []result
	var wait sync.WaitGroup
	for i := range clients {
		wait.Add(1)
		go func() {
			defer wait.Done()
			time.Sleep(time.Until(stoppedAt.Add(1700 * time.Millisecond)))
			if !m.takesWork() {
				return
			}
			c, err := dial(m)
			if err != nil {
				return
			}
			// The first request lasts until 3.2 to 3.9 s after the signal, the second one 2 s more.
			works := []string{"1500", "1550", "1600", "1650", "1700", "1750", "1800", "1850"}
			for _, work := range []string{works[i], "2050"} {
				if c.ended || !m.takesWork() {
					return
				}
				r := c.do("client", request{method: http.MethodPost, host: host, path: pathPlace + "order?work=" + work,
					deadline: 5 * time.Second, body: []byte("order")})
				mu.Lock()
				results = append(results, r)
				mu.Unlock()
			}
		}()
	}
	wait.Wait()
	if trouble {
		select {
		case <-m.exited:
			d.record.log("case", "the node ended %.2f s after SIGTERM", time.Since(stoppedAt).Seconds())
		case <-time.After(time.Until(stoppedAt.Add(graceTime))):
			m.signal(syscall.SIGKILL)
		}
	}
	time.Sleep(500 * time.Millisecond)
	broken := 0
	for _, r := range results {
		if d.brokenOff(r, stoppedAt) {
			broken++
		}
	}
	d.record.log("case", "requests: %d; broken off although the backend was at work: %d", len(results), broken)
	return broken > 0, nil
}

// brokenOff reports whether the rule LOST counts a request: a backend was at work on it, and it got an answer of the
// system's own, or none, before its deadline and its route's timeout. A request that was sent up to 3 s after the signal
// and whose backend was still at work in the last sixth of the grace time doesn't count.
func (d *deployment) brokenOff(r result, stoppedAt time.Time) bool {
	if r.whole && r.seal != "" || r.gaveUp || r.end.Sub(r.sent) >= timeoutPlace {
		return false
	}
	const margin = 20 * time.Millisecond
	for _, x := range d.runsOf(r.id) {
		atWork := x.began.Before(r.end) && x.ended.After(r.end.Add(-margin))
		sentEarly := r.sent.Sub(stoppedAt) <= 3*time.Second
		inLastSixth := x.ended.Sub(stoppedAt) >= graceTime*5/6
		if atWork && !(sentEarly && inLastSixth) {
			d.record.log("case", "request %s, sent %.3f s after the signal, ended %.3f s after it with %s; its backend was at work from %.3f to %.3f s (%s)",
				r.id, r.sent.Sub(stoppedAt).Seconds(), r.end.Sub(stoppedAt).Seconds(), r, x.began.Sub(stoppedAt).Seconds(),
				x.ended.Sub(stoppedAt).Seconds(), x.outcome)
			return true
		}
	}
	return false
}
