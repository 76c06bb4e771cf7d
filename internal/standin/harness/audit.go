package harness

import (
	"bufio"
	"os"
	"strings"

	"github.com/tamarackpitch/tamarackpitch/internal/standin/caller"
)

// Run is a line of the upstreams' ledger: a call that an upstream started to run.
// Call is the call's ID, Upstream the upstream's name.
type Run struct {
	Method   string
	Call     string
	Upstream string
}

// ReadLedger reads the ledger that the upstreams of a mesh write. It skips incomplete lines.
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

// Findings lists, by ID, the calls that violate a guarantee of the mesh. A call may be in a list more than once.
type Findings struct {
	// RunTwice lists non-idempotent calls that ran more than once.
	RunTwice []string
	// FalseNotRun lists non-idempotent calls that were refused as not run although they ran.
	FalseNotRun []string
	// Wrong lists calls with another call's answer or a damaged one.
	Wrong []string
	// LostRuns lists non-idempotent calls that were answered with success although no upstream ran them.
	LostRuns []string
}

// Audit compares the callers' records with the upstreams' runs. It takes GET and HEAD calls as idempotent.
// The callers sent those calls several times for which repeated returns true; such a call may have been run
// once and refused as not run another time. A nil repeated means that no call was repeated.
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
