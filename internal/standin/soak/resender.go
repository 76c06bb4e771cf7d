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
	// paymentRate is the number of new payments per second.
	paymentRate = 15
	// maxSends bounds how often a payment is sent with the same key, the first time included.
	maxSends    = 3
	resendPause = 100 * time.Millisecond
)

// resender simulates callers that send payments and, unless the answer is OK, send them again with the same
// idempotency key, each time to a random node.
type resender struct {
	soak    *Soak
	entries []string
	caller  *caller.Caller
	random  *rand.Rand

	mu      sync.Mutex
	results []caller.Record
	// resent holds the calls that were sent more than once.
	resent map[string]bool
}

func newResender(s *Soak, entries []string) *resender {
	return &resender{soak: s, entries: entries, random: rand.New(rand.NewPCG(s.config.Seed, 13)), resent: map[string]bool{},
		caller: caller.New(caller.Config{Entries: entries, Rate: paymentRate, Timeout: 3 * time.Second, Seed: s.config.Seed})}
}

// loop starts payments until the context ends, and waits for those in flight.
func (r *resender) loop(ctx context.Context) {
	var group sync.WaitGroup
	for i := 0; ctx.Err() == nil; i++ {
		p := &payment{resender: r, call: fmt.Sprintf("r%d-%d", r.soak.config.Seed, i), group: &group}
		for range maxSends {
			p.entries = append(p.entries, r.entries[r.random.IntN(len(r.entries))])
		}
		group.Add(1)
		go p.run()
		time.Sleep(time.Second / paymentRate)
	}
	group.Wait()
}

// payment is one payment, which is sent until it succeeds or has gone to every entry.
type payment struct {
	resender *resender
	// call is the name of the call and its idempotency key.
	call string
	// entries are the addresses to send to, one for each attempt.
	entries []string
	group   *sync.WaitGroup
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

func (r *resender) add(record caller.Record, resent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, record)
	if resent {
		r.resent[record.Call] = true
	}
}

func (r *resender) records() []caller.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]caller.Record(nil), r.results...)
}

// wasResent reports whether a call was sent more than once.
func (r *resender) wasResent(call string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.resent[call]
}
