package parser

import "bytes"

// StartFinder looks for the beginning of another response in a body that arrives in pieces. The zero value is ready to use.
type StartFinder struct {
	// matched is how many bytes of ProtocolPrefix the body ends with, or all of them once it has contained the whole.
	matched int
}

// Scan examines the next piece of the body.
func (s *StartFinder) Scan(piece []byte) {
	for i := 0; i < len(piece) && s.matched < len(ProtocolPrefix); {
		if s.matched == 0 {
			// The first byte of ProtocolPrefix occurs in it only once, so that a mismatch can only begin anew.
			skipped := bytes.IndexByte(piece[i:], ProtocolPrefix[0])
			if skipped < 0 {
				return
			}
			i += skipped
		}
		if piece[i] != ProtocolPrefix[s.matched] {
			s.matched = 0
			continue
		}
		s.matched++
		i++
	}
}

// Contained reports whether the body contains ProtocolPrefix.
func (s *StartFinder) Contained() bool { return s.matched == len(ProtocolPrefix) }

// Found reports whether the body contains ProtocolPrefix, or ends with a part of it that input, which follows, continues.
func (s *StartFinder) Found(input []byte) bool {
	rest := ProtocolPrefix[s.matched:]
	n := min(len(input), len(rest))
	return s.matched > 0 && string(input[:n]) == rest[:n]
}
