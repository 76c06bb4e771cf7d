package stutterer

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"
)

// settleTime is how long a request must have been quiet before it is judged. It exceeds every deadline and delay.
const settleTime = 8 * time.Second

// ledger holds the histories of the requests that have not been judged. It is safe for concurrent use.
type ledger struct {
	output io.Writer

	mu         sync.Mutex
	histories  map[string]*history
	runs       int
	counts     map[string]int
	violations map[rule]int
}

func newLedger(output io.Writer) *ledger {
	return &ledger{output: output, histories: map[string]*history{}, counts: map[string]int{}, violations: map[rule]int{}}
}

// open records that a caller sends a request.
func (l *ledger) open(id, origin string, idempotent bool, format string, arguments ...any) *history {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := &history{id: id, origin: origin, idempotent: idempotent}
	l.histories[id] = h
	h.note(format, arguments...)
	return h
}

// begin records that an upstream begins to run a request. It also returns the ordinal of the run.
func (l *ledger) begin(id, upstream, connection string) (*run, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.histories[id]
	if h == nil {
		h = &history{id: id, idempotent: true, odd: []string{"no caller sent the request"}}
		l.histories[id] = h
	}
	l.runs++
	r := &run{history: h, number: l.runs, upstream: upstream}
	h.runs = append(h.runs, r)
	h.note("run %d at %s on connection %s", r.number, upstream, connection)
	return r, len(h.runs)
}

// decide records the response of a run.
func (l *ledger) decide(r *run, status, length int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.status, r.seal = status, r.sealOf(status, length)
}

// note adds an event to a request.
func (l *ledger) note(h *history, format string, arguments ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h.note(format, arguments...)
}

// odd records that a request reached an upstream in a form in which it was not sent.
func (l *ledger) odd(h *history, format string, arguments ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h.odd = append(h.odd, fmt.Sprintf(format, arguments...))
}

// close records the answer that a caller got.
func (l *ledger) close(h *history, a answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h.answer = &a
	h.note("answer: %s", a)
	switch {
	case a.lost:
		l.counts["lost"]++
	case a.seal == "":
		l.counts[fmt.Sprintf("%d-of-node", a.status)]++
	default:
		l.counts[fmt.Sprint(a.status)]++
	}
}

// checkIdle waits for bytes on a connection on which no request is waiting. They count against the last request.
func (l *ledger) checkIdle(c *callerConn, wait time.Duration) {
	text := c.unrequested(wait)
	if text == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.histories[c.last.id] = c.last
	c.last.answer.malformed = text
	c.last.note("%s", text)
}

// count counts something for the report.
func (l *ledger) count(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[key]++
}

// settle judges the requests that have been quiet for a time, and forgets them.
func (l *ledger) settle(quiet time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, h := range l.histories {
		if time.Since(h.touched) < quiet {
			continue
		}
		delete(l.histories, id)
		l.counts["requests"]++
		for _, v := range judge(h) {
			l.violations[v.rule]++
			_, _ = fmt.Fprintf(l.output, "VIOLATION %s %s idempotent=%t: %s\n%s", v.rule, h.id, h.idempotent, v.detail, h.timeline())
		}
	}
}

// report writes the counts as key=value lines.
func (l *ledger) report() {
	l.mu.Lock()
	defer l.mu.Unlock()
	keys := make([]string, 0, len(l.counts))
	for k := range l.counts {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	for _, k := range keys {
		_, _ = fmt.Fprintf(l.output, "%s=%d\n", k, l.counts[k])
	}
	_, _ = fmt.Fprintf(l.output, "runs=%d\n", l.runs)
	for _, r := range []rule{ruleMixed, ruleTwice, ruleUnasked, ruleRefused, ruleRepeated} {
		_, _ = fmt.Fprintf(l.output, "violations-%s=%d\n", r, l.violations[r])
	}
}
