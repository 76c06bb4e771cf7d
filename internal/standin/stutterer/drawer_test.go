package stutterer

import (
	"bufio"
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// draws is how many responses each test draws.
const draws = 300

func newDrawer(seed uint64, chances Chances) *drawer {
	return &drawer{random: rand.New(rand.NewPCG(seed, 1)), chances: chances}
}

// join returns what a script writes.
func (s script) join() []byte {
	var b bytes.Buffer
	for _, p := range s.steps {
		b.Write(p.data)
	}
	return b.Bytes()
}

// ask returns the answer that a caller gets if the node sends the bytes and closes the connection.
func ask(data []byte) answer {
	client, server := net.Pipe()
	go func() {
		_, _ = http.ReadRequest(bufio.NewReader(server))
		_, _ = server.Write(data)
		_ = server.Close()
	}()
	return newCallerConn(newLedger(nil), client, "").call(targets[0].request("a", time.Second, nil), "a test")
}

func TestFirstResponseIsWholeOrLost(t *testing.T) {
	h, _ := newHistory(true, []string{"u"}, []int{200})
	for seed := range uint64(draws) {
		chances := DefaultChances()
		chances.Cut, chances.Reset, chances.CloseDelimited = 0, 0, 0.2
		d := newDrawer(seed, chances)
		f := d.response(h.runs[0], 200, d.length())
		a := ask(d.first(f).join())
		qt.Assert(t, a, qt.Equals, answer{status: 200, seal: f.seal, whole: true})
		d.chances.Cut, f.framing = 1, framingChunked
		a = ask(d.first(f).join())
		qt.Assert(t, a.lost, qt.Not(qt.Equals), "")
		qt.Assert(t, a.malformed, qt.IsFalse)
	}
}

func TestSecondResponse(t *testing.T) {
	h, _ := newHistory(true, []string{"u"}, []int{200})
	r := h.runs[0]
	cut := 0
	for seed := range uint64(draws) {
		d, same := newDrawer(seed, DefaultChances()), newDrawer(seed, DefaultChances())
		f := d.response(r, 200, 20)
		second := d.second(r, f)
		qt.Assert(t, same.second(r, same.response(r, 200, 20)).join(), qt.DeepEquals, second.join())
		qt.Assert(t, second.ending, qt.Equals, endOpen)
		d.chances.SecondJunk = 0
		d.chances.SecondCut = 1
		s := d.second(r, f)
		response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(s.join())), nil)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		if err != nil {
			cut++
		}
	}
	// A response that ends with its connection may lack a part of its body unnoticed.
	qt.Assert(t, cut > draws*9/10, qt.IsTrue, qt.Commentf("%d of %d are incomplete", cut, draws))
}

// TestMalformedResponse draws malformed responses: the same ones from the same source, of many kinds.
func TestMalformedResponse(t *testing.T) {
	h, _ := newHistory(true, []string{"u"}, []int{200})
	names := map[string]bool{}
	for seed := range uint64(draws) {
		d, same := newDrawer(seed, DefaultChances()), newDrawer(seed, DefaultChances())
		s := d.malformed(d.response(h.runs[0], 200, 20))
		qt.Assert(t, same.malformed(same.response(h.runs[0], 200, 20)).join(), qt.DeepEquals, s.join())
		names[s.text] = true
	}
	qt.Assert(t, len(names) > draws/4, qt.IsTrue, qt.Commentf("%d kinds", len(names)))
}

func TestMalformedBytesAreNoAnswer(t *testing.T) {
	a := ask([]byte("HTTP/1.1 200 OK\r\nno field\r\n\r\n"))
	qt.Assert(t, a.malformed, qt.IsTrue)
}

func TestUnrequestedBytesAreNoAnswer(t *testing.T) {
	client, server := net.Pipe()
	go func() { _, _ = server.Write([]byte("x")) }()
	l := newLedger(nil)
	h, seals := newHistory(true, []string{"u"}, []int{200})
	c := newCallerConn(l, client, "")
	c.last = h
	l.close(h, answer{status: 200, seal: seals[0], whole: true})
	qt.Assert(t, judge(h), qt.HasLen, 0)
	c.checkIdle(time.Second)
	qt.Assert(t, c.ended, qt.IsTrue)
	qt.Assert(t, judge(h), qt.HasLen, 1)
}
