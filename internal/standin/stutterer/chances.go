package stutterer

import "time"

// Chances are the probabilities, from 0 to 1, of what upstreams do. Each is drawn on its own.
type Chances struct {
	// Fail is the probability of a response with status 500, Inner that of calls which a run makes, Slow that of a run
	// which takes up to slowWork, and Large that of a long body.
	Fail, Inner, Slow, Large float64
	// Chunked and CloseDelimited are the probabilities of a body without a stated length, Interim that of an interim
	// response first, Pieces that of small writes, and AnnouncedClose that of a connection which ends after the response.
	Chunked, CloseDelimited, Interim, Pieces, AnnouncedClose float64
	// Cut and Reset are the probabilities of a response that is broken off, at an orderly end of the connection or a reset.
	Cut, Reset float64
	// Malformed is the probability of a malformed response in place of any other.
	Malformed float64
	// Second is the probability of a second response. The others are those of a second response that comes late, has
	// another status or another body, is no response at all, comes in two writes, or is cut off while the connection stays.
	Second, SecondLate, SecondStatus, SecondBody, SecondJunk, SecondPieces, SecondCut float64
}

// DefaultChances returns the probabilities of the soak.
func DefaultChances() Chances {
	return Chances{Fail: 0.2, Inner: 0.5, Slow: 0.15, Large: 0.06,
		Chunked: 0.45, CloseDelimited: 0.04, Interim: 0.04, Pieces: 0.1, AnnouncedClose: 0.02, Cut: 0.01, Reset: 0.01, Malformed: 0.03,
		Second: 0.3, SecondLate: 0.1, SecondStatus: 0.35, SecondBody: 0.1, SecondJunk: 0.05, SecondPieces: 0.4, SecondCut: 0.4}
}

const (
	// quickWork and slowWork are the longest times that a run takes.
	quickWork = 12 * time.Millisecond
	slowWork  = 400 * time.Millisecond
	// soonDelay and lateDelay are the longest times after which a second response follows the first.
	soonDelay = 60 * time.Millisecond
	lateDelay = time.Second
	// pieceDelay is the longest pause between two writes.
	pieceDelay = 15 * time.Millisecond
	// shortBody and longBody limit bodies, and maxJunk what is no response, in bytes.
	shortBody = 6000
	longBody  = 150_000
	maxJunk   = 200
	// malformedClose is the probability that a malformed response ends the connection.
	malformedClose = 0.5
	// maxPieces limits the additional writes of a response.
	maxPieces = 5
	// tailBytes limits what the timeline shows of a response that is cut off.
	tailBytes = 60
)
