package stutterer

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

// innerSeparator separates the ID of a call that a run makes from that of its request.
const innerSeparator = "."

// ledger holds the histories of the requests that have not been judged yet. It is safe for concurrent use.
type ledger struct {
	logger hclog.Logger

	mu         sync.Mutex
	histories  map[string]*history
	runs       int
	counts     map[string]int
	violations map[Rule]int
}

func newLedger(logger hclog.Logger) *ledger {
	return &ledger{logger: logger, histories: map[string]*history{}, counts: map[string]int{}, violations: map[Rule]int{}}
}

// open records that a caller sends a request.
func (l *ledger) open(q request, origin, from string) *history {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := &history{id: q.id, origin: origin, idempotent: q.target.idempotent}
	h.note("%s sends it to %s on a VM of %s, with %s left", from, q.target.service, origin, q.deadline)
	l.histories[q.id] = h
	return h
}

// begin records that an upstream begins to run a request. It also returns the ordinal of the run.
func (l *ledger) begin(id, upstream, service, connection string) (*run, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.histories[id]
	if h == nil {
		h = &history{id: id, idempotent: true, unrequested: []string{"no caller sent it"}}
		l.histories[id] = h
	}
	l.runs++
	r := &run{history: h, number: l.runs, upstream: upstream, service: service}
	h.runs = append(h.runs, r)
	h.note("run %d at %s on connection %s", r.number, upstream, connection)
	return r, len(h.runs)
}

// decide records the response of a run.
func (l *ledger) decide(r *run, status, length int, text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.status, r.seal = status, r.sealOf(status, length)
	r.history.note("run %d: %s", r.number, text)
}

// note adds a line to the timeline of a run's request.
func (l *ledger) note(r *run, text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.history.note("run %d: %s", r.number, text)
}

// addRunAfterLeave reports that a run began although its upstream had left.
func (l *ledger) addRunAfterLeave(r *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addViolation(violation{RuleRunAfterLeave, "at " + r.upstream}, "request", r.history.id, "timeline", r.history.timeline.String())
}

// addUnrequested records that a run's request differs from what its caller sent.
func (l *ledger) addUnrequested(r *run, text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.history.unrequested = append(r.history.unrequested, text)
}

// close records the answer to a request. A history that was judged before is judged again.
func (l *ledger) close(h *history, a answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.histories[h.id] = h
	h.answer = &a
	h.note("answer %+v", a)
	switch {
	case a.lost != "":
		l.counts["answers-lost"]++
	case a.seal == "":
		l.counts[fmt.Sprintf("answers-%d-of-node", a.status)]++
	default:
		l.counts[fmt.Sprintf("answers-%d", a.status)]++
	}
}

// count counts something for the report.
func (l *ledger) count(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[key]++
}

// handlingOf returns the services whose upstreams ran a probe, or an empty one if the node answered that there is no such route.
// It returns nothing if the answer does not tell.
func (l *ledger) handlingOf(h *history, a answer) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var services []string
	for _, r := range h.runs {
		services = append(services, r.service)
	}
	if a.lost == "" && a.seal == "" && a.status == http.StatusNotFound {
		services = append(services, "")
	}
	return services
}

// countProbe counts a probe that was judged.
func (l *ledger) countProbe(b probe) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts["probes-judged"]++
	if b.required > 0 {
		l.counts["probes-judged-with-bound"]++
	}
	if b.shown > 0 {
		l.counts["probes-judged-by-earlier-answers"]++
	}
}

// addProbeViolation reports a rule that the handling of a probe breaks.
func (l *ledger) addProbeViolation(v violation, arguments ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addViolation(v, arguments...)
}

// end records that a node ended by itself or does not run as it should.
func (l *ledger) end(text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addViolation(violation{RuleNodeEnded, text})
}

// addViolation reports a broken rule. The caller holds the lock.
func (l *ledger) addViolation(v violation, arguments ...any) {
	l.violations[v.rule]++
	l.logger.Error(string(v.rule)+": "+v.detail, arguments...)
}

// settle judges and forgets the requests of which nothing was heard for a time.
func (l *ledger) settle(quiet time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, h := range l.histories {
		if time.Since(h.touched) < quiet {
			continue
		}
		delete(l.histories, id)
		l.counts["requests"]++
		if strings.Contains(id, innerSeparator) {
			l.counts["requests-of-upstreams"]++
		}
		for _, v := range judge(h) {
			l.addViolation(v, "request", id, "idempotent", h.idempotent, "timeline", h.timeline.String())
		}
	}
}

// report writes the counts as key=value lines and returns them with the violations.
func (l *ledger) report(w io.Writer) Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, k := range slices.Sorted(maps.Keys(l.counts)) {
		_, _ = fmt.Fprintf(w, "%s=%d\n", k, l.counts[k])
	}
	_, _ = fmt.Fprintf(w, "runs=%d\n", l.runs)
	for _, r := range rules {
		_, _ = fmt.Fprintf(w, "violations-%s=%d\n", r, l.violations[r])
	}
	return Result{Violations: l.violations, Counts: l.counts}
}
