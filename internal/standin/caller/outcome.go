package caller

// Outcome is the result of a call as its caller saw it.
type Outcome string

// Outcomes.
const (
	// OK is a complete, undamaged answer of an upstream to this call.
	OK Outcome = "ok"
	// Failed is an upstream's own answer with a 5xx status.
	Failed Outcome = "failed"
	// NotRun is a refusal that states that the request was not run.
	NotRun Outcome = "not-run"
	// Unknown is a refusal that states that the request may have run.
	Unknown Outcome = "unknown"
	// Lost is a call whose connection failed, or that timed out, before the complete answer.
	Lost Outcome = "lost"
	// NotSent is a call whose connection was refused, so that no request was sent.
	NotSent Outcome = "not-sent"
	// Wrong is an answer to another call, or one whose request or answer was changed on its way.
	Wrong Outcome = "wrong"
)
