package stutterer

import "time"

// Chances are the probabilities, from 0 to 1, of what upstreams do. Each is drawn on its own.
type Chances struct {
	// Fail is that of a response with status 500.
	Fail float64
	// Inner is that of calls which the run of a request makes.
	Inner float64
	// Slow is that of a run which takes up to slowWork.
	Slow float64
	// Large is that of a long body.
	Large float64

	// Chunked and CloseDelimited are those of bodies without a stated length.
	Chunked        float64
	CloseDelimited float64
	// Interim is that of an interim response before the final one.
	Interim float64
	// Pieces is that of a response in several small writes.
	Pieces float64
	// Cut and Reset are those of a response that is broken off, with an orderly end of the connection or a reset.
	Cut   float64
	Reset float64
	// AnnouncedClose is that of a response that announces the end of the connection.
	AnnouncedClose float64

	// Second is that of a second response after the first one.
	Second float64
	// Those of a second response: it is late, has another status or another body, is no response, arrives in two pieces,
	// is cut off while the connection stays open.
	SecondLate   float64
	SecondStatus float64
	SecondBody   float64
	SecondJunk   float64
	SecondPieces float64
	SecondCut    float64
}

// DefaultChances returns the probabilities of the soak.
func DefaultChances() Chances {
	return Chances{Fail: 0.25, Inner: 0.5, Slow: 0.15, Large: 0.06,
		Chunked: 0.45, CloseDelimited: 0.04, Interim: 0.04, Pieces: 0.1, Cut: 0.01, Reset: 0.01, AnnouncedClose: 0.02,
		Second: 0.3, SecondLate: 0.1, SecondStatus: 0.35, SecondBody: 0.1, SecondJunk: 0.05, SecondPieces: 0.3, SecondCut: 0.4}
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
	// shortBody and longBody are the longest bodies, in bytes.
	shortBody = 6000
	longBody  = 150_000
	// maxPieces is the greatest number of writes of a response in pieces.
	maxPieces = 6
	// maxJunk is the greatest number of bytes that are no response.
	maxJunk = 200
)
