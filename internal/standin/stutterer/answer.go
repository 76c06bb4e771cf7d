package stutterer

// answer is what a caller received for a request.
type answer struct {
	status int
	seal   string
	// whole is set if the body is the one that belongs to the seal.
	whole bool
	// lost is why the caller got no complete answer, or empty.
	lost string
	// malformed is set if the caller got bytes that are no answer, or got them with no request waiting.
	malformed bool
}

func (a answer) success() bool { return a.lost == "" && a.status >= 200 && a.status < 300 }
