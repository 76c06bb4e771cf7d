// Package upstream implements a stand-in upstream for tests. It announces itself to its node, answers after
// a set latency and cold start with bodies of any size, and fails, slows down or exits on request.
package upstream

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tamarackpitch/tamarackpitch/internal/controller"
	"github.com/tamarackpitch/tamarackpitch/internal/requester"
)

// Headers with which a caller verifies an answer.
const (
	// HeaderCall is the ID of the call; the answer repeats the request's.
	HeaderCall    = "X-Call"
	HeaderVersion = "X-Upstream-Version"
	// HeaderUpstream is the name of the upstream that answered.
	HeaderUpstream = "X-Upstream"
	// HeaderBodyHash is the xxhash of the answer's body, in hexadecimal.
	HeaderBodyHash = "X-Body-Hash"
	// HeaderReceivedHash is the xxhash of the request's body as it arrived, in hexadecimal.
	HeaderReceivedHash = "X-Received-Hash"
)

const (
	announceInterval = 500 * time.Millisecond
	announceTimeout  = time.Second
	// coldStartFactor multiplies the latency during a cold start.
	coldStartFactor = 10
	chunkBytes      = 32 << 10
	// crashExitCode is the exit code after a request with the query parameter crash.
	crashExitCode = 3
	// maxBodyBytes bounds the body of an answer.
	maxBodyBytes = 1 << 30
)

// Config holds the settings of an Upstream.
type Config struct {
	// Name identifies the upstream in answers and in the ledger.
	Name    string
	Service string
	Version string
	// Listen is the IP:port that is announced to the node.
	Listen string
	// Node is the admin address of the upstream's node.
	Node string
	// Slots and Connections are announced to the node; the upstream does not enforce them.
	Slots       int
	Connections int
	// ColdStart is the time after the start during which answers are slow.
	ColdStart time.Duration
	Behaviour Behaviour
	// Ledger is the path of a file that gets a line for each call that starts, or empty.
	// The upstreams of a mesh append to the same file.
	Ledger    string
	Requester *requester.Requester
}

// Upstream answers requests. It is safe for concurrent use.
type Upstream struct {
	config   Config
	started  time.Time
	inFlight atomic.Int64
	draining atomic.Bool
	// served counts the requests that were processed, failed ones included.
	served atomic.Uint64
	mux    *http.ServeMux

	// mu guards behaviour; ledger is set once by New.
	mu        sync.Mutex
	behaviour Behaviour
	ledger    *os.File
}

// New returns an Upstream and opens its ledger.
func New(c Config) (*Upstream, error) {
	u := &Upstream{config: c, started: time.Now(), behaviour: c.Behaviour, mux: http.NewServeMux()}
	if c.Ledger != "" {
		f, err := os.OpenFile(c.Ledger, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, err
		}
		u.ledger = f
	}
	u.mux.HandleFunc("POST /standin/behaviour", u.serveBehaviour)
	u.mux.HandleFunc("GET /standin/in-flight", u.serveInFlight)
	u.mux.HandleFunc("/", u.serve)
	return u, nil
}

// ServeHTTP implements http.Handler.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) { u.mux.ServeHTTP(w, r) }

func (u *Upstream) currentBehaviour() Behaviour {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.behaviour
}

func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	n := u.inFlight.Add(1)
	defer u.inFlight.Add(-1)
	call := r.Header.Get(HeaderCall)
	u.recordRun(r.Method, call)
	if r.URL.Query().Get("crash") != "" {
		os.Exit(crashExitCode)
	}
	received := xxhash.New()
	_, _ = io.Copy(received, r.Body)
	b := u.currentBehaviour()
	age := time.Since(u.started)
	affected := b.affects(r.URL.Path, age, int(n))
	latency := b.latency(affected)
	if age < u.config.ColdStart {
		latency *= coldStartFactor
	}
	time.Sleep(latency)
	u.served.Add(1)
	h := w.Header()
	h.Set(HeaderCall, call)
	h.Set(HeaderVersion, u.config.Version)
	h.Set(HeaderUpstream, u.config.Name)
	h.Set(HeaderReceivedHash, strconv.FormatUint(received.Sum64(), 16))
	if affected && rand.Float64() < b.FailRate {
		h.Set("Content-Length", "0")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	size, _ := strconv.Atoi(r.URL.Query().Get("size"))
	writeBody(w, min(max(size, 0), maxBodyBytes), call)
}

// writeBody writes a body derived from the call's ID, so that a caller detects an answer to another call.
func writeBody(w http.ResponseWriter, size int, call string) {
	w.Header().Set("Content-Length", strconv.Itoa(size))
	w.Header().Set(HeaderBodyHash, strconv.FormatUint(BodyHash(call, size), 16))
	w.WriteHeader(http.StatusOK)
	chunk := bodyChunk(call)
	for size > 0 {
		n := min(size, len(chunk))
		if _, err := w.Write(chunk[:n]); err != nil {
			return
		}
		size -= n
	}
}

// bodyChunk returns the bytes that the body of a call repeats.
func bodyChunk(call string) []byte {
	seed := xxhash.Sum64String(call)
	chunk := make([]byte, chunkBytes)
	for i := range chunk {
		chunk[i] = byte(seed >> (8 * (i % 8)))
	}
	return chunk
}

// BodyHash returns the xxhash of the body of the given size that answers a call.
func BodyHash(call string, size int) uint64 {
	d := xxhash.New()
	chunk := bodyChunk(call)
	for size > 0 {
		n := min(size, len(chunk))
		_, _ = d.Write(chunk[:n])
		size -= n
	}
	return d.Sum64()
}

// recordRun appends a call to the ledger. It is called before the request has any effect,
// so that the ledger also has the calls that crash the upstream.
func (u *Upstream) recordRun(method, call string) {
	if u.ledger == nil || call == "" {
		return
	}
	_, _ = fmt.Fprintf(u.ledger, "%s %s %s\n", method, call, u.config.Name)
}

func (u *Upstream) serveBehaviour(w http.ResponseWriter, r *http.Request) {
	var b Behaviour
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	u.mu.Lock()
	u.behaviour = b
	u.mu.Unlock()
}

// serveInFlight answers with the numbers of requests in flight and of requests served.
func (u *Upstream) serveInFlight(w http.ResponseWriter, _ *http.Request) {
	_, _ = fmt.Fprintf(w, "%d %d\n", u.inFlight.Load(), u.served.Load())
}

// Announce announces the upstream to its node at each announceInterval until the context ends.
// A failed announcement is not reported: the next one makes up for it.
func (u *Upstream) Announce(ctx context.Context) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		u.announce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (u *Upstream) announce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	cold := max(u.config.ColdStart-time.Since(u.started), 0)
	body, _ := json.Marshal(controller.Announcement{Service: u.config.Service, Version: u.config.Version,
		Address: u.config.Listen, Slots: u.config.Slots, Connections: u.config.Connections,
		ColdStartMs: cold.Milliseconds(), Draining: u.draining.Load()})
	_, _ = u.config.Requester.Do(ctx, http.MethodPost, "http://"+u.config.Node+"/announce", body)
}

// Drain announces that the upstream takes no new work, and returns once no request has been in flight for
// the grace period. It has no time limit.
func (u *Upstream) Drain(grace time.Duration) {
	u.draining.Store(true)
	u.announce(context.Background())
	idleSince := time.Now()
	for time.Since(idleSince) < grace {
		if u.inFlight.Load() > 0 {
			idleSince = time.Now()
		}
		time.Sleep(grace / 50)
	}
}
