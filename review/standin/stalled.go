package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["stalled-download"] = stalledDownload }

// stalledDownload: a backend falls silent while it sends long answers. Its requests have passed their route's TimeoutS
// then without a final answer.
func stalledDownload(d *deployment, trouble bool) (bool, error) {
	d.addMachines(machinesWithSilent, serviceDrawvault)
	const slots = 9
	if err := d.startAll(slots); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var results []result
	var wait sync.WaitGroup
	download := func(m *machine) {
		defer wait.Done()
		c, err := dial(m)
		if err != nil {
			return
		}
		r := c.do("client", request{method: http.MethodGet, host: host, path: pathDrawing + "a?work=180&size=540000&stream=1300",
			deadline: 4 * time.Second})
		_ = c.socket.Close()
		mu.Lock()
		results = append(results, r)
		mu.Unlock()
	}
	for round := range 2 {
		victim := d.machines[1+round]
		for _, m := range d.machines {
			for range slots {
				wait.Add(1)
				go download(m)
			}
			time.Sleep(5 * time.Millisecond)
		}
		if trouble {
			// All of the victim's answers are under way.
			time.Sleep(1250 * time.Millisecond)
			b := victim.backend
			d.record.log(victim.name, "backend %s falls silent", b.id)
			close(b.silent)
			time.Sleep(4500 * time.Millisecond)
			b.crash()
			d.record.log(victim.name, "backend %s is gone, a new one starts", b.id)
			if _, err := startBackend(victim, fmt.Sprintf("i-0000000%d", round), "v1", slots); err != nil {
				return false, err
			}
		}
		wait.Wait()
		time.Sleep(5 * time.Second)
	}
	// A quarter of the requests that last longer than their timeout, and eight or more, have no final answer 0.5 s after it.
	lasting, late := 0, 0
	for _, r := range results {
		if r.end.Sub(r.sent) > timeoutDrawing {
			lasting++
		}
		if r.end.Sub(r.sent) > timeoutDrawing+500*time.Millisecond {
			late++
			d.record.log("case", "request %s has no final answer %.3f s after it was sent: %s", r.id, r.end.Sub(r.sent).Seconds(), r)
		}
	}
	d.record.log("case", "requests: %d; longer than TimeoutS: %d; without a final answer 0.5 s after it: %d", len(results), lasting, late)
	return late >= 8 && 4*late > lasting, nil
}
