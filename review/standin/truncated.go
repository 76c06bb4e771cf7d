package main

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["truncated-failure"] = truncatedFailure }

// truncatedFailure: a backend falls silent while it sends the body of a failure.
func truncatedFailure(d *deployment, trouble bool) (bool, error) {
	d.addMachines(machinesWithSilent, serviceTracker)
	if err := d.startAll(9); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var results []result
	var wait sync.WaitGroup
	ask := func(m *machine, query string) {
		defer wait.Done()
		c, err := dial(m)
		if err != nil {
			return
		}
		r := c.do("client", request{method: http.MethodGet, host: host, path: pathStatus + "s?" + query, deadline: 4 * time.Second})
		_ = c.socket.Close()
		mu.Lock()
		results = append(results, r)
		mu.Unlock()
	}
	// Calm traffic first, from which the retry budget grows.
	for range 20 {
		for _, m := range d.machines {
			wait.Add(1)
			go ask(m, "work=100&size=1500")
		}
		time.Sleep(50 * time.Millisecond)
	}
	wait.Wait()
	// A few failures, whose bodies take a while.
	for _, m := range d.machines {
		for range 4 {
			wait.Add(1)
			go ask(m, "work=200&fail=1&size=8000&stream=600")
		}
	}
	if trouble {
		time.Sleep(500 * time.Millisecond)
		m := d.machines[1]
		d.record.log(m.name, "backend %s falls silent", m.backend.id)
		close(m.backend.silent)
	}
	wait.Wait()
	broken := 0
	for _, r := range results {
		// The seal names the length of the whole body.
		if !r.whole || r.seal == "" || strings.HasSuffix(r.seal, "."+strconv.Itoa(r.size)) {
			continue
		}
		broken++
		d.record.log("case", "request %s got an answer that looks complete with %d bytes of a body whose seal is %s, status %d", r.id, r.size, r.seal, r.status)
	}
	d.record.log("case", "requests: %d; cut answers that look complete: %d", len(results), broken)
	return broken > 0, nil
}
