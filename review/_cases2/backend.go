package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// backend is an application backend: it runs requests and reports itself to the node on its machine.
type backend struct {
	machine *machine
	id      string
	version string
	born    int64
	work    time.Duration
	// workOf, unless nil, returns how long a request takes.
	workOf func(path string) time.Duration

	mu       sync.Mutex
	sequence uint64
	state    string
	// leaving is set once the backend says in its answers that it leaves.
	leaving bool
	stop    chan struct{}
	server  *http.Server
	// runs holds when each request began to run, by attempt id.
	runs map[string]time.Time
}

func newBackend(m *machine, id, version string) *backend {
	return &backend{machine: m, id: id, version: version, work: 20 * time.Millisecond, state: "ready", stop: make(chan struct{}),
		runs: map[string]time.Time{}}
}

func (b *backend) start() error {
	l, err := net.Listen("tcp", b.machine.at(portApp))
	if err != nil {
		return err
	}
	b.born = time.Now().UnixMilli()
	b.server = &http.Server{Handler: http.HandlerFunc(b.serve)}
	go func() { _ = b.server.Serve(l) }()
	b.machine.rec.add("backend %s: started beside %s", b.id, b.machine.name)
	return nil
}

func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Mesh-Attempt-Id")
	if r.URL.Path == "/health" {
		w.Header().Set("X-Mesh-Instance", b.id)
		return
	}
	w.Header().Set("X-Mesh-Attempt-Id", id)
	if want := r.Header.Get("X-Mesh-Expect-Instance"); want != "" && want != b.id {
		w.Header().Set("X-Mesh-Instance", b.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.mu.Lock()
	b.runs[id] = time.Now()
	b.mu.Unlock()
	b.machine.rec.add("backend %s: runs %s", b.id, id)
	_, _ = io.Copy(io.Discard, r.Body)
	if b.workOf != nil {
		time.Sleep(b.workOf(r.URL.Path))
	}
	time.Sleep(b.work)
	b.mu.Lock()
	if b.leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	b.mu.Unlock()
	w.Header().Set("X-Mesh-Response-Seal", "seal-of-"+b.id+"-"+id)
	_, _ = fmt.Fprintf(w, "answer to %s by %s", id, b.id)
}

// heartbeat returns the body of the next heartbeat.
func (b *backend) heartbeat() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	body, _ := json.Marshal(map[string]any{"Address": b.machine.at(portApp), "born": b.born,
		"Info":   map[string]any{"Service": b.machine.service, "Version": b.version, "Zone": b.machine.zone, "Slots": 9},
		"Status": map[string]any{"State": b.state, "Sequence": b.sequence, "ColdRemainingS": 0}})
	return body
}

// call sends a call to the control address of the machine's node, and returns the status, or 0 without an answer.
func (b *backend) call(method string, body []byte) int {
	r, _ := http.NewRequest(method, "http://"+b.machine.at(portControl)+"/api/instances/"+b.id, bytes.NewReader(body))
	r.Header.Set("Content-Type", "application/json")
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := c.Do(r)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, answer.Body)
	_ = answer.Body.Close()
	return answer.StatusCode
}

// beat sends heartbeats until stop is closed.
func (b *backend) beat() {
	for {
		if status := b.call(http.MethodPut, b.heartbeat()); status != 200 {
			b.machine.rec.add("backend %s: heartbeat answered %d", b.id, status)
		}
		select {
		case <-b.stop:
			return
		case <-time.After(heartbeatTime):
		}
	}
}

// leave sends the DELETE of a backend that doesn't report draining before.
func (b *backend) leave() int {
	body, _ := json.Marshal(map[string]any{"born": b.born})
	return b.call(http.MethodDelete, body)
}

func (b *backend) ranAt(id string) (time.Time, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	at, ok := b.runs[id]
	return at, ok
}
