package stutterer

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/standin/corrupter"
)

// drawer draws requests, and how an upstream treats a request. What it draws depends on its source of randomness only.
type drawer struct {
	random  *rand.Rand
	chances Chances
}

func (d *drawer) hit(chance float64) bool { return d.random.Float64() < chance }

// upTo returns a time from 0 to limit.
func (d *drawer) upTo(limit time.Duration) time.Duration {
	return time.Duration(d.random.Int64N(int64(limit) + 1))
}

// innerDeadline returns the deadline of a call that a run makes.
func (d *drawer) innerDeadline() time.Duration {
	return minInnerDeadline + d.upTo(maxInnerDeadline-minInnerDeadline)
}

// work returns how long a run takes.
func (d *drawer) work() time.Duration {
	if d.hit(d.chances.Slow) {
		return d.upTo(slowWork)
	}
	return d.upTo(quickWork)
}

// length returns the length of a response's body.
func (d *drawer) length() int {
	if d.hit(d.chances.Large) {
		return d.random.IntN(longBody)
	}
	return d.random.IntN(shortBody)
}

// response draws the form of a response of a run.
func (d *drawer) response(r *run, status, length int) response {
	f := response{id: r.history.id, status: status, seal: r.sealOf(status, length), length: length,
		announceClose: d.hit(d.chances.AnnouncedClose)}
	switch {
	case d.hit(d.chances.CloseDelimited):
		f.framing = framingClose
	case d.hit(d.chances.Chunked):
		f.framing = framingChunked
	}
	return f
}

// first draws how a response is sent.
func (d *drawer) first(f response) script {
	s := script{text: fmt.Sprintf("status %d, %d bytes, %s", f.status, f.length, f.framing)}
	head, body := f.encode(d)
	message := slices.Concat(head, body)
	if f.announceClose || f.framing == framingClose {
		s.ending = endClose
	}
	// A response that ends with its connection looks complete if it is cut off without a reset.
	cut := d.hit(d.chances.Cut) && f.framing != framingClose
	if reset := d.hit(d.chances.Reset); cut || reset {
		message = message[:d.random.IntN(len(message))]
		s.ending = endClose
		if reset {
			s.ending = endReset
		}
		s.text += fmt.Sprintf(", broken off after %d bytes, reset %t", len(message), reset)
	}
	if d.hit(d.chances.Interim) {
		message = slices.Concat([]byte("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"), message)
		s.text += ", after an interim response"
	}
	pieces := 1
	if d.hit(d.chances.Pieces) {
		pieces += d.random.IntN(maxPieces)
		s.text += ", in pieces"
	}
	s.steps = d.split(message, pieces)
	return s
}

// malformed draws a malformed response, after which the connection ends or stays open.
func (d *drawer) malformed(f response) script {
	fields := fmt.Sprintf("%s: %s\r\n%s: %s\r\n", wire.RequestID, f.id, wire.Seal, f.seal)
	all := corrupter.New(corrupter.Config{Fields: fields, Body: string(repeat(f.seal, 1+d.random.IntN(shortBody)))}).All()
	drawn := all[d.random.IntN(len(all))]
	s := script{text: "malformed response: " + drawn.Name, steps: d.split([]byte(drawn.Text), 1+d.random.IntN(maxPieces))}
	if d.hit(malformedClose) {
		s.ending = endClose
	}
	return s
}

// second draws a second response after the first one of a run.
func (d *drawer) second(r *run, first response) script {
	delay := d.upTo(soonDelay)
	if d.hit(d.chances.SecondLate) {
		delay = d.upTo(lateDelay)
	}
	if d.hit(d.chances.SecondJunk) {
		junk := make([]byte, 1+d.random.IntN(maxJunk))
		for i := range junk {
			junk[i] = byte(d.random.IntN(256))
		}
		return script{steps: []step{{delay, junk}}, text: fmt.Sprintf("second response after %s: %d bytes of junk", delay, len(junk))}
	}
	f := first
	if d.hit(d.chances.SecondStatus) {
		f.status = http.StatusOK + http.StatusInternalServerError - first.status
	}
	if d.hit(d.chances.SecondBody) {
		f.length = d.random.IntN(shortBody)
	}
	f.seal = r.sealOf(f.status, f.length)
	s := script{text: fmt.Sprintf("second response after %s: status %d, %d bytes", delay, f.status, f.length)}
	head, body := f.encode(d)
	message := slices.Concat(head, body)
	if d.hit(d.chances.SecondCut) {
		message = message[:d.cutAt(head, body)]
		s.text += fmt.Sprintf(", cut after %q", message[max(0, len(message)-tailBytes):])
	}
	switch {
	case !d.hit(d.chances.SecondPieces):
		s.steps = []step{{data: message}}
	case len(message) > len(head) && d.hit(0.5):
		s.steps = []step{{data: head}, {d.upTo(pieceDelay), message[len(head):]}}
	default:
		s.steps = d.split(message, 2)
	}
	s.text += fmt.Sprintf(", in %d writes", len(s.steps))
	s.steps[0].pause = delay
	return s
}

// cutAt draws where a response is cut off: in the status line, in the value of a field, or anywhere.
func (d *drawer) cutAt(head, body []byte) int {
	lines := strings.SplitAfter(string(head), "\r\n")
	switch d.random.IntN(3) {
	case 0:
		return 1 + d.random.IntN(len(lines[0]))
	case 1:
		// The last two elements are the empty line and what follows it.
		n := 1 + d.random.IntN(len(lines)-3)
		value := strings.Index(lines[n], ": ") + 2
		return len(strings.Join(lines[:n], "")) + value + d.random.IntN(len(lines[n])-value)
	}
	return 1 + d.random.IntN(len(head)+len(body)-1)
}

// split divides a message into writes at random places.
func (d *drawer) split(message []byte, pieces int) []step {
	var steps []step
	for ; pieces > 1 && len(message) > 1; pieces-- {
		n := 1 + d.random.IntN(len(message)-1)
		steps = append(steps, step{d.upTo(pieceDelay), message[:n]})
		message = message[n:]
	}
	return append(steps, step{data: message})
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
