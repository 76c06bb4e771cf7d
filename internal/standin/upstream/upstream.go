// Package upstream stands in for a back end in tests: it announces itself to its node, has slots,
// a latency, a cold start and bodies of any size, and can be told to misbehave or crash.
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

// Headers by which a caller checks its answers.
const (
	HeaderCall    = "X-Call"
	HeaderVersion = "X-Upstream-Version"
	HeaderNode    = "X-Upstream"
	HeaderHash    = "X-Body-Hash"
	// HeaderReceived is the hash of the request's body.
	HeaderReceived = "X-Received-Hash"
)

const (
	announceInterval = 500 * time.Millisecond
	announceTimeout  = time.Second
	// coldFactor multiplies the latency during a cold start.
	coldFactor = 10
	pieceBytes = 32 << 10
	// crashExitCode is the exit code of a crash on request.
	crashExitCode = 3
	// maxBodyBytes bounds the answers.
	maxBodyBytes = 1 << 30
)

// Config builds an Upstream.
type Config struct {
	Name        string
	Service     string
	Version     string
	Listen      string
	Node        string
	Slots       int
	Connections int
	ColdStart   time.Duration
	Behaviour   Behaviour
	// Ledger is a file that gets a line for each request that starts, or empty.
	Ledger    string
	Requester *requester.Requester
}

// Upstream serves requests.
type Upstream struct {
	config   Config
	started  time.Time
	inFlight atomic.Int64
	draining atomic.Bool
	served   atomic.Uint64
	mux      *http.ServeMux

	mu        sync.Mutex
	behaviour Behaviour
	ledger    *os.File
}

// New returns an Upstream.
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

func (u *Upstream) current() Behaviour {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.behaviour
}

func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	n := u.inFlight.Add(1)
	defer u.inFlight.Add(-1)
	call := r.Header.Get(HeaderCall)
	u.note(r.Method, call)
	if r.URL.Query().Get("crash") != "" {
		os.Exit(crashExitCode)
	}
	received := xxhash.New()
	_, _ = io.Copy(received, r.Body)
	b := u.current()
	age := time.Since(u.started)
	bad := b.bad(r.URL.Path, age, int(n))
	latency := b.latency(bad)
	if age < u.config.ColdStart {
		latency *= coldFactor
	}
	time.Sleep(latency)
	u.served.Add(1)
	h := w.Header()
	h.Set(HeaderCall, call)
	h.Set(HeaderVersion, u.config.Version)
	h.Set(HeaderNode, u.config.Name)
	h.Set(HeaderReceived, strconv.FormatUint(received.Sum64(), 16))
	if bad && rand.Float64() < b.FailRate {
		h.Set("Content-Length", "0")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	size, _ := strconv.Atoi(r.URL.Query().Get("size"))
	writeBody(w, min(max(size, 0), maxBodyBytes), call)
}

// writeBody writes bytes that depend on the call, so that crossed answers show.
func writeBody(w http.ResponseWriter, size int, call string) {
	w.Header().Set("Content-Length", strconv.Itoa(size))
	w.Header().Set(HeaderHash, strconv.FormatUint(BodyHash(call, size), 16))
	w.WriteHeader(http.StatusOK)
	piece := bodyPiece(call)
	for size > 0 {
		n := min(size, len(piece))
		if _, err := w.Write(piece[:n]); err != nil {
			return
		}
		size -= n
	}
}

func bodyPiece(call string) []byte {
	seed := xxhash.Sum64String(call)
	piece := make([]byte, pieceBytes)
	for i := range piece {
		piece[i] = byte(seed >> (8 * (i % 8)))
	}
	return piece
}

// BodyHash returns the hash of the body that belongs to a call.
func BodyHash(call string, size int) uint64 {
	d := xxhash.New()
	piece := bodyPiece(call)
	for size > 0 {
		n := min(size, len(piece))
		_, _ = d.Write(piece[:n])
		size -= n
	}
	return d.Sum64()
}

// note writes a ledger line before the request has any effect.
func (u *Upstream) note(method, call string) {
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

func (u *Upstream) serveInFlight(w http.ResponseWriter, _ *http.Request) {
	_, _ = fmt.Fprintf(w, "%d %d\n", u.inFlight.Load(), u.served.Load())
}

// Announce tells the node about the upstream until the context ends.
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

// Drain asks for no new work and waits until the requests under way have ended.
func (u *Upstream) Drain(grace time.Duration) {
	u.draining.Store(true)
	u.announce(context.Background())
	quiet := time.Now()
	for time.Since(quiet) < grace {
		if u.inFlight.Load() > 0 {
			quiet = time.Now()
		}
		time.Sleep(grace / 50)
	}
}
