package forwarder

import "bytes"

const (
	// protocolPrefix begins each response.
	protocolPrefix = "HTTP/1."
	// statusLineBytes is the length of a status line up to its status code: "HTTP/1.1 200".
	statusLineBytes = len(protocolPrefix) + len("1 200")
)

// afterStatusLine returns what follows the first status code in b that is part of a status line. If a response's head has
// one after its own, an incomplete response lies before the complete one, and the status and header fields may belong to
// the former.
func afterStatusLine(b []byte) (rest []byte, found bool) {
	for {
		i := bytes.Index(b, []byte(protocolPrefix))
		if i < 0 || len(b) < i+statusLineBytes {
			return nil, false
		}
		b = b[i+len(protocolPrefix):]
		if (b[0] == '0' || b[0] == '1') && b[1] == ' ' && isDigit(b[2]) && isDigit(b[3]) && isDigit(b[4]) {
			return b[5:], true
		}
	}
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// startFinder looks for the beginning of another response in a body that arrives in pieces. The zero value is ready to use.
type startFinder struct {
	// matched is how many bytes of protocolPrefix the body ends with, or all of them once it has contained the whole.
	matched int
}

// scan examines the next piece of the body.
func (s *startFinder) scan(piece []byte) {
	for i := 0; i < len(piece) && s.matched < len(protocolPrefix); {
		if s.matched == 0 {
			// The first byte of protocolPrefix occurs in it only once, so that a mismatch can only begin anew.
			skipped := bytes.IndexByte(piece[i:], protocolPrefix[0])
			if skipped < 0 {
				return
			}
			i += skipped
		}
		if piece[i] != protocolPrefix[s.matched] {
			s.matched = 0
			continue
		}
		s.matched++
		i++
	}
}

// contained reports whether the body contains protocolPrefix.
func (s *startFinder) contained() bool { return s.matched == len(protocolPrefix) }

// found reports whether the body contains protocolPrefix, or ends with a part of it that input, which follows, continues.
func (s *startFinder) found(input []byte) bool {
	rest := protocolPrefix[s.matched:]
	n := min(len(input), len(rest))
	return s.matched > 0 && string(input[:n]) == rest[:n]
}
