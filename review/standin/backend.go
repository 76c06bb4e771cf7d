package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// backend is a stand-in for an application backend. What a request needs stands in its query: work (milliseconds of
// work), size (bytes of the answer) and stream (milliseconds over which the answer is written after the work).
type backend struct {
	m       *machine
	id      string
	version string
	slots   int
	born    time.Time

	// silent is closed when the backend falls silent: it reads, writes and announces nothing more.
	silent chan struct{}

	running  atomic.Int64
	sequence atomic.Int64
	server   *http.Server
	stop     chan struct{}

	mu   sync.Mutex
	runs map[string][]run
}

// run is one run of a request.
type run struct {
	began, ended time.Time
	outcome      string
}

const (
	queueLength = 36
	// streamStep is the time between two pieces of an answer that is streamed.
	streamStep = 20 * time.Millisecond
)

func startBackend(m *machine, id, version string, slots int) (*backend, error) {
	b := &backend{m: m, id: id, version: version, slots: slots, born: time.Now(), silent: make(chan struct{}),
		stop: make(chan struct{}), runs: map[string][]run{}}
	l, err := net.Listen("tcp", m.address(m.d.ports.app))
	if err != nil {
		return nil, err
	}
	slotFree := make(chan struct{}, slots)
	waiting := atomic.Int64{}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Mesh-Instance", b.id)
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Mesh-Attempt-Id")
		w.Header().Set("X-Mesh-Attempt-Id", id)
		w.Header()["Date"] = nil
		if e := r.Header.Get("X-Mesh-Expect-Instance"); e != "" && e != b.id {
			w.Header().Set("X-Mesh-Instance", b.id)
			w.Header().Set("X-Mesh-Not-Executed", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if id == "" {
			w.Header().Set("X-Mesh-Not-Executed", "1")
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		ms, err := strconv.ParseFloat(r.Header.Get("X-Mesh-Deadline-Ms"), 64)
		if err != nil {
			ms = 60_000
		}
		ctx, cancel := context.WithTimeout(r.Context(), time.Duration(ms*float64(time.Millisecond)))
		defer cancel()
		if waiting.Add(1) > int64(slots+queueLength) {
			waiting.Add(-1)
			w.Header().Set("X-Mesh-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer waiting.Add(-1)
		select {
		case slotFree <- struct{}{}:
		case <-ctx.Done():
			w.Header().Set("X-Mesh-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer func() { <-slotFree }()
		b.serve(ctx, w, r, id)
	})
	b.server = &http.Server{Handler: mux}
	go func() { _ = b.server.Serve(l) }()
	go b.announce()
	m.backend = b
	return b, nil
}

// seal stands for the signature of an answer: it names the backend, the request and the body's length.
func (b *backend) seal(id string, size int) string { return fmt.Sprintf("%s.%s.%d", b.id, id, size) }

func (b *backend) serve(ctx context.Context, w http.ResponseWriter, r *http.Request, id string) {
	began := time.Now()
	b.m.d.record.log(b.m.name, "backend %s (%s) runs %s %s %s, X-Mesh-Deadline-Ms %s", b.id, b.version, id, r.Method, r.URL,
		r.Header.Get("X-Mesh-Deadline-Ms"))
	finish := func(outcome string) {
		now := time.Now()
		b.mu.Lock()
		b.runs[id] = append(b.runs[id], run{began, now, outcome})
		b.mu.Unlock()
		b.m.d.record.logAt(now, b.m.name, "backend %s: run of %s ends after %.0f ms: %s", b.id, id, now.Sub(began).Seconds()*1000, outcome)
	}
	q := r.URL.Query()
	work, _ := strconv.Atoi(q.Get("work"))
	size, _ := strconv.Atoi(q.Get("size"))
	stream, _ := strconv.Atoi(q.Get("stream"))
	if !b.pause(r.Context(), ctx, time.Duration(work)*time.Millisecond) {
		if r.Context().Err() != nil {
			finish("caller left")
			return
		}
		b.answer(w, id, http.StatusGatewayTimeout, 0)
		finish("504 at its deadline")
		return
	}
	if stream > 0 && q.Get("fail") != "" {
		finish(b.streamAnswer(ctx, w, r, id, size, http.StatusInternalServerError, time.Duration(stream)*time.Millisecond))
		return
	}
	if stream == 0 {
		b.answer(w, id, http.StatusOK, size)
		finish("200")
		return
	}
	finish(b.streamAnswer(ctx, w, r, id, size, http.StatusOK, time.Duration(stream)*time.Millisecond))
}

func (b *backend) answer(w http.ResponseWriter, id string, status, size int) {
	w.Header().Set("X-Mesh-Response-Seal", b.seal(id, size))
	w.Header().Set("Content-Length", strconv.Itoa(size))
	w.WriteHeader(status)
	_, _ = w.Write(bytes.Repeat([]byte{'x'}, size))
}

// streamAnswer writes an answer in equal pieces over a time.
func (b *backend) streamAnswer(ctx context.Context, w http.ResponseWriter, r *http.Request, id string, size, status int, d time.Duration) string {
	w.Header().Set("X-Mesh-Response-Seal", b.seal(id, size))
	w.Header().Set("Content-Length", strconv.Itoa(size))
	w.WriteHeader(status)
	steps := int(d / streamStep)
	for i := range steps {
		if !b.pause(r.Context(), ctx, streamStep) {
			return "broken off midway"
		}
		if _, err := w.Write(bytes.Repeat([]byte{'x'}, size*(i+1)/steps-size*i/steps)); err != nil {
			return "caller left midway"
		}
		_ = http.NewResponseController(w).Flush()
	}
	return "200"
}

// deadlineStep is how often a backend looks at its deadline while it works.
const deadlineStep = 50 * time.Millisecond

// pause waits, and for ever if the backend has fallen silent. It reports false if the caller left, or if the deadline
// was found to have passed.
func (b *backend) pause(caller, deadline context.Context, d time.Duration) bool {
	for end := time.Now().Add(d); ; {
		timer := time.NewTimer(max(min(time.Until(end), deadlineStep), 0))
		select {
		case <-timer.C:
		case <-caller.Done():
			timer.Stop()
			return false
		case <-b.silent:
			timer.Stop()
			<-b.stop
			return false
		}
		if deadline.Err() != nil {
			return false
		}
		if !time.Now().Before(end) {
			return true
		}
	}
}

// announce sends a heartbeat at each interval until the backend stops or falls silent.
func (b *backend) announce() {
	for {
		b.beat("ready")
		select {
		case <-b.stop:
			return
		case <-b.silent:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

func (b *backend) beat(state string) {
	body, _ := json.Marshal(map[string]any{
		"Address": b.m.address(b.m.d.ports.app), "born": b.born.UnixMilli(),
		"Info":   map[string]any{"Service": b.m.service, "Version": b.version, "Zone": b.m.zone, "Slots": b.slots},
		"Status": map[string]any{"State": state, "Sequence": b.sequence.Add(1), "ColdRemainingS": 0},
	})
	r, err := http.NewRequest(http.MethodPut, "http://"+b.m.address(b.m.d.ports.control)+"/api/instances/"+b.id, bytes.NewReader(body))
	if err != nil {
		return
	}
	r.Header.Set("Content-Type", "application/json")
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	if response, err := c.Do(r); err == nil {
		_ = response.Body.Close()
	}
}

// runsOf returns the runs of a request here.
func (b *backend) runsOf(id string) []run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]run(nil), b.runs[id]...)
}

// crash ends the backend and resets its connections.
func (b *backend) crash() {
	close(b.stop)
	_ = b.server.Close()
}
