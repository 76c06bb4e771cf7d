package stutterer

import "fmt"

// answer is what a caller received for a request.
type answer struct {
	status int
	seal   string
	// whole is set if the body is complete and is the one that belongs to the seal.
	whole bool
	// lost is set if the connection ended, or the caller left, before the response was complete.
	lost bool
	// malformed describes bytes that are not an HTTP response, or bytes after the response, or is empty.
	malformed string
	detail    string
}

func (a answer) String() string {
	return fmt.Sprintf("status %d seal %q whole %t lost %t malformed %q %s", a.status, a.seal, a.whole, a.lost, a.malformed, a.detail)
}

func (a answer) success() bool { return !a.lost && a.status >= 200 && a.status < 300 }
