package caller

// Outcome classifies one call from outside.
type Outcome string

// Outcomes.
const (
	// OK is a whole answer of the right upstream to this call.
	OK Outcome = "ok"
	// Failed is an upstream's own error answer.
	Failed Outcome = "failed"
	// NotRun is a refusal that says the request was not run.
	NotRun Outcome = "not-run"
	// Unknown is a refusal that says the request may have run.
	Unknown Outcome = "unknown"
	// Lost is a connection that ended before the whole answer.
	Lost Outcome = "lost"
	// NotSent is a connection that was refused: no request left the caller.
	NotSent Outcome = "not-sent"
	// Wrong is an answer that belongs to another call or is not what the upstream sent.
	Wrong Outcome = "wrong"
)
