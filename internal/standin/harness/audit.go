package harness

import (
	"bufio"
	"os"
	"strings"

	"github.com/tamarackpitch/tamarackpitch/internal/standin/caller"
)

// Run is one line of the upstreams' ledger: a request that started.
type Run struct {
	Method   string
	Call     string
	Upstream string
}

// ReadLedger reads what the upstreams say they ran.
func ReadLedger(path string) ([]Run, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	var runs []Run
	scanner := bufio.NewScanner(f)
	for scanner.Scan() {
		parts := strings.Fields(scanner.Text())
		if len(parts) == 3 {
			runs = append(runs, Run{Method: parts[0], Call: parts[1], Upstream: parts[2]})
		}
	}
	return runs, scanner.Err()
}

// Findings are violations that show from outside.
type Findings struct {
	// RunTwice names non-idempotent calls that ran more than once.
	RunTwice []string
	// FalseNotRun names non-idempotent calls whose last answer was not-run although they ran.
	FalseNotRun []string
	// Wrong names calls with another call's answer or a damaged one.
	Wrong []string
	// LostRuns counts successful non-idempotent calls that no upstream knows of.
	LostRuns []string
}

// Audit compares what callers saw with what upstreams ran. Calls for which repeated is true were
// sent several times by their callers; for them a refusal may speak of one sending only.
func Audit(records []caller.Record, runs []Run, repeated func(string) bool) Findings {
	count := map[string]int{}
	for _, r := range runs {
		count[r.Call]++
	}
	var f Findings
	for _, r := range records {
		if r.Outcome == caller.Wrong {
			f.Wrong = append(f.Wrong, r.Call)
		}
		if r.Method == "GET" || r.Method == "HEAD" {
			continue
		}
		if count[r.Call] > 1 {
			f.RunTwice = append(f.RunTwice, r.Call)
		}
		if r.Outcome == caller.NotRun && count[r.Call] > 0 && (repeated == nil || !repeated(r.Call)) {
			f.FalseNotRun = append(f.FalseNotRun, r.Call)
		}
		if r.Outcome == caller.OK && count[r.Call] == 0 {
			f.LostRuns = append(f.LostRuns, r.Call)
		}
	}
	return f
}
