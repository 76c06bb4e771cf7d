package stutterer

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"
)

// drawer draws how an upstream treats one request. What it draws depends on its source of randomness only.
type drawer struct {
	random  *rand.Rand
	chances Chances
}

func (d *drawer) hit(chance float64) bool { return d.random.Float64() < chance }

// upTo returns a time from 0 to limit.
func (d *drawer) upTo(limit time.Duration) time.Duration {
	return time.Duration(d.random.Int64N(int64(limit) + 1))
}

// work returns how long a run takes.
func (d *drawer) work() time.Duration {
	if d.hit(d.chances.Slow) {
		return d.upTo(slowWork)
	}
	return d.upTo(quickWork)
}

// length returns the length of a body.
func (d *drawer) length() int {
	if d.hit(d.chances.Large) {
		return d.random.IntN(longBody)
	}
	return d.random.IntN(shortBody)
}

// framing returns how a response delimits its body.
func (d *drawer) framing() framing {
	x := d.random.Float64()
	switch {
	case x < d.chances.CloseDelimited:
		return framingClose
	case x < d.chances.CloseDelimited+d.chances.Chunked:
		return framingChunked
	}
	return framingLength
}

// plan draws how the response of a run is sent.
func (d *drawer) plan(r *run, status, length int) plan {
	response := response{id: r.history.id, status: status, seal: r.sealOf(status, length), length: length, framing: d.framing(),
		announceClose: d.hit(d.chances.AnnouncedClose)}
	head, body := response.encode(d)
	p := plan{text: fmt.Sprintf("run %d decides %d, %d bytes, %s", r.number, status, length, response.framing)}
	message := slices.Concat(head, body)
	if response.announceClose || response.framing == framingClose {
		p.first.ending = endClose
	}
	switch {
	case response.framing != framingClose && d.hit(d.chances.Cut):
		message = message[:d.random.IntN(len(message))]
		p.first.ending = endClose
		p.text += fmt.Sprintf(", closed after %d bytes", len(message))
	case d.hit(d.chances.Reset):
		message = message[:d.random.IntN(len(message))]
		p.first.ending = endReset
		p.text += fmt.Sprintf(", reset after %d bytes", len(message))
	}
	if d.hit(d.chances.Interim) {
		message = slices.Concat([]byte("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"), message)
		p.text += ", after an interim response"
	}
	p.first.steps = []step{{data: message}}
	if d.hit(d.chances.Pieces) {
		p.first.steps = d.split(message, 2+d.random.IntN(maxPieces-1))
		p.text += ", in pieces"
	}
	if p.first.ending == endOpen && d.hit(d.chances.Second) {
		p.late = d.second(r, response, &p)
	}
	return p
}

// second draws a second response after the first one.
func (d *drawer) second(r *run, first response, p *plan) *script {
	delay := d.upTo(soonDelay)
	if d.hit(d.chances.SecondLate) {
		delay = d.upTo(lateDelay)
	}
	p.text += fmt.Sprintf("; second response after %s", delay.Round(time.Millisecond))
	if d.hit(d.chances.SecondJunk) {
		junk := make([]byte, 1+d.random.IntN(maxJunk))
		for i := range junk {
			junk[i] = byte(d.random.IntN(256))
		}
		p.text += ": junk"
		return &script{steps: []step{{delay, junk}}}
	}
	response := first
	if d.hit(d.chances.SecondStatus) {
		response.status = http.StatusOK + http.StatusInternalServerError - first.status
		p.text += fmt.Sprintf(", status %d", response.status)
	}
	if d.hit(d.chances.SecondBody) {
		response.length = d.random.IntN(shortBody)
		p.text += fmt.Sprintf(", %d bytes", response.length)
	}
	if response != first {
		response.seal = r.sealOf(response.status, response.length)
	}
	head, body := response.encode(d)
	message := slices.Concat(head, body)
	if d.hit(d.chances.SecondCut) {
		message = message[:d.cutAt(head, body)]
		p.text += fmt.Sprintf(", cut after %q", tail(message))
	}
	steps := []step{{data: message}}
	switch {
	case len(message) > len(head) && d.hit(d.chances.SecondPieces):
		steps = []step{{data: head}, {d.upTo(pieceDelay), message[len(head):]}}
		p.text += ", head and body apart"
	case d.hit(d.chances.SecondPieces):
		steps = d.split(message, 2)
		p.text += ", in two pieces"
	}
	steps[0].pause = delay
	return &script{steps: steps}
}

// cutAt draws where a response is cut off: in the status line, in the value of a field, or anywhere.
func (d *drawer) cutAt(head, body []byte) int {
	lines := strings.SplitAfter(string(head), "\r\n")
	switch d.random.IntN(3) {
	case 0:
		return 1 + d.random.IntN(len(lines[0]))
	case 1:
		n := 1 + d.random.IntN(len(lines)-3)
		before := len(strings.Join(lines[:n], ""))
		value := strings.Index(lines[n], ": ") + 2
		return before + value + d.random.IntN(len(lines[n])-value)
	}
	return 1 + d.random.IntN(len(head)+len(body)-1)
}

// tail returns the end of a message, for the timeline.
func tail(message []byte) []byte { return message[max(0, len(message)-60):] }

// split divides a message into writes at random places.
func (d *drawer) split(message []byte, pieces int) []step {
	var steps []step
	for ; pieces > 1 && len(message) > 1; pieces-- {
		n := 1 + d.random.IntN(len(message)-1)
		steps = append(steps, step{d.upTo(pieceDelay), message[:n]})
		message = message[n:]
	}
	return append(steps, step{d.upTo(pieceDelay), message})
}

// chunk encodes a body in chunks of random sizes.
func (d *drawer) chunk(body []byte) []byte {
	var b bytes.Buffer
	for len(body) > 0 {
		n := 1 + d.random.IntN(len(body))
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	b.WriteString("0\r\n\r\n")
	return b.Bytes()
}
