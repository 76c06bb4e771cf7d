package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/standin/caller"
)

const (
	resendRate = 15
	// resends bounds the times a payment is sent again with its key.
	resends     = 3
	resendPause = 100 * time.Millisecond
)

// resender stands in for callers that send a payment again, through another node, when they are not sure of it.
type resender struct {
	soak    *Soak
	entries []string
	caller  *caller.Caller
	random  *rand.Rand

	mu    sync.Mutex
	seen  []caller.Record
	again map[string]bool
}

func newResender(s *Soak, entries []string) *resender {
	return &resender{soak: s, entries: entries, random: rand.New(rand.NewPCG(s.config.Seed, 13)), again: map[string]bool{},
		caller: caller.New(caller.Config{Entries: entries, Rate: resendRate, Timeout: 3 * time.Second, Seed: s.config.Seed})}
}

func (r *resender) loop(ctx context.Context) {
	var group sync.WaitGroup
	for i := 0; ctx.Err() == nil; i++ {
		p := &payment{resender: r, call: fmt.Sprintf("r%d-%d", r.soak.config.Seed, i), group: &group}
		for range resends {
			p.entries = append(p.entries, r.entries[r.random.IntN(len(r.entries))])
		}
		group.Add(1)
		go p.run()
		time.Sleep(time.Second / resendRate)
	}
	group.Wait()
}

// payment is one payment with its resends.
type payment struct {
	resender *resender
	call     string
	entries  []string
	group    *sync.WaitGroup
}

func (p *payment) run() {
	defer p.group.Done()
	target := caller.Target{Method: "POST", Path: "/payments/10?size=60", Size: 60, BodySize: 100, Keyed: true}
	for i, entry := range p.entries {
		record := p.resender.caller.Call(p.call, target, entry)
		p.resender.add(record, i > 0)
		if record.Outcome == caller.OK {
			return
		}
		time.Sleep(resendPause)
	}
}

func (r *resender) add(record caller.Record, again bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen = append(r.seen, record)
	if again {
		r.again[record.Call] = true
	}
}

func (r *resender) records() []caller.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]caller.Record(nil), r.seen...)
}

// repeated tells whether a call was sent more than once.
func (r *resender) repeated(call string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.again[call]
}
