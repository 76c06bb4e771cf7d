package forwarder_test

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestClosingResponseIsNotCutByRequestsBehindIt sends more requests behind one whose response closes the connection than
// the node reads, and reads the response only after the node has written what the kernel takes of it. A close with unread
// input would reset the connection, and cut the response.
func TestClosingResponseIsNotCutByRequestsBehindIt(t *testing.T) {
	const long, behind, pause = 6 << 20, 40, 300 * time.Millisecond
	var runs atomic.Int64
	entry, _, _ := pair(t, func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		_, _ = io.WriteString(w, strings.Repeat("x", long))
	})
	for _, method := range []string{get("/get/behind"), post("/post/behind")} {
		runs.Store(0)
		c := openCaller(t, entry)
		c.send(t, "GET /get/last HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"+strings.Repeat(method, behind))
		time.Sleep(pause)
		c.send(t, strings.Repeat(method, behind))
		r := c.receive(t)
		qt.Assert(t, len(r.body), qt.Equals, long)
		qt.Assert(t, r.closes, qt.IsTrue)
		_, err := c.reader.ReadByte()
		qt.Assert(t, err, qt.Equals, io.EOF)
		qt.Assert(t, runs.Load(), qt.Equals, int64(1), qt.Commentf("a request behind the last response ran"))
	}
}

// TestRefusalsBetweenPipelinedCalls pipelines calls of which some are refused, the last one with a closing response. What
// is behind that does not run, whatever it is.
func TestRefusalsBetweenPipelinedCalls(t *testing.T) {
	m := newCustomerMesh(t, customerDialect(), func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/get/full" {
			w.WriteHeader(http.StatusTooManyRequests)
		}
		respondWithCustomer(w, r)
	})
	m.publish(map[string]string{"a": "secret1"})
	c := openCaller(t, m.entry)
	keyed := "X-Key: secret1\r\n"
	request := func(line, headers string) string { return line + " HTTP/1.1\r\nHost: x\r\n" + headers + "\r\n" }
	c.send(t, request("GET /get/a", keyed)+request("POST /post/b", "Content-Length: 0\r\n")+request("GET /get/full", keyed)+
		request("POST /post/c", keyed+"Content-Length: 0\r\n")+request("GET /none", "")+
		request("GET /get/d", "Connection: close\r\n")+request("POST /post/e", keyed+"Content-Length: 0\r\n")+request("GET /get/f", keyed))
	for i, want := range []int{200, 401, 429, 200, 404, 401} {
		r := c.receive(t)
		qt.Assert(t, r.status, qt.Equals, want, qt.Commentf("response %d", i))
		qt.Assert(t, r.closes, qt.Equals, i == 5)
	}
	_, err := c.reader.ReadByte()
	qt.Assert(t, err, qt.Equals, io.EOF)
	qt.Assert(t, m.upstream.runs.Load(), qt.Equals, int64(3))
}

// TestPipelinedCallsBesideDrain pipelines calls of both kinds and one without a key before the node drains: each that ran is
// answered, in order, the last response closes the connection, and none runs without a response.
func TestPipelinedCallsBesideDrain(t *testing.T) {
	// startTime is added to the drain's time: from the drain to the release of the first call the test itself may take that long.
	const startTime = 10 * time.Second
	running, leave := make(chan bool, 1), make(chan bool)
	m := newCustomerMesh(t, customerDialect(), func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/get/slow" {
			running <- true
			<-leave
		}
		respondWithCustomer(w, r)
	})
	m.entry.common.Settings.DrainTimeout = startTime + drainTime
	keys := map[string]string{"a": "secret1"}
	m.publish(keys)
	c := openCaller(t, m.entry)
	keyed := "X-Key: secret1\r\n"
	request := func(line, headers string) string { return line + " HTTP/1.1\r\nHost: x\r\n" + headers + "\r\n" }
	c.send(t, request("GET /get/slow", keyed)+request("GET /get/b", "")+request("POST /post/c", keyed+"Content-Length: 0\r\n")+
		request("GET /get/d", keyed))
	<-running
	drained := make(chan bool, 1)
	snapshot := m.snapshot(keys)
	snapshot.leaving, snapshot.timeoutMs = true, 500
	m.entry.publish(snapshot)
	go func() { drained <- m.entry.Drain(startTime + drainTime) }()
	eventually(t, "the node drains", func() bool { return do("GET", m.entry.url("/none"), "").err != nil })
	close(leave)
	released := time.Now()
	var statuses []int
	var closes []bool
	for range 4 {
		r := c.receive(t)
		statuses, closes = append(statuses, r.status), append(closes, r.closes)
	}
	qt.Assert(t, statuses, qt.DeepEquals, []int{200, 401, 200, 200})
	qt.Assert(t, closes, qt.DeepEquals, []bool{false, false, false, true})
	qt.Assert(t, m.upstream.runs.Load(), qt.Equals, int64(3))
	qt.Assert(t, <-drained, qt.IsTrue)
	qt.Assert(t, time.Since(released) < drainTime, qt.IsTrue)
}

// TestRequestBehindRefusedOneIsNotRun sends, in one piece, a request that is refused at once with a closing response and
// another one.
func TestRequestBehindRefusedOneIsNotRun(t *testing.T) {
	entry, _, u := pair(t, respondWith("ran"))
	malformed := "POST /post HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"
	for _, request := range []string{get("/get/behind"), post("/post/behind"), malformed} {
		c := openCaller(t, entry)
		c.send(t, "GET /none HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"+request)
		r := c.receive(t)
		qt.Assert(t, r.status, qt.Equals, http.StatusNotFound)
		qt.Assert(t, r.closes, qt.IsTrue)
		_, err := c.reader.ReadByte()
		qt.Assert(t, err, qt.Equals, io.EOF)
	}
	time.Sleep(100 * time.Millisecond)
	qt.Assert(t, u.runs.Load(), qt.Equals, int64(0))
}

// TestRequestBehindLeavingNodesRefusalIsNotRun sends, in one piece, a call that a draining node refuses and another one that it
// could serve: the refusal closes the connection.
func TestRequestBehindLeavingNodesRefusalIsNotRun(t *testing.T) {
	late := post("/post/late")
	d := startDraining(t, 5000, "", late)
	d.send(t, late[openHeadBytes:]+"GET /get/behind HTTP/1.1\r\nHost: x\r\nTamarackpitch-Time-Left: 100\r\n\r\n")
	r := d.receive(t)
	qt.Assert(t, r.status, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, r.closes, qt.IsTrue)
	_, err := d.reader.ReadByte()
	qt.Assert(t, err, qt.Equals, io.EOF)
	time.Sleep(100 * time.Millisecond)
	qt.Assert(t, d.upstream.runs.Load(), qt.Equals, int64(1))
}
