// Package logserver stands in for the platform's append-only log service in tests.
//
// It speaks HTTP: POST /streams/{stream}/records appends,
// GET /streams/{stream}/records?from=&max=&wait-ms= reads, GET /streams/{stream} gives the bounds,
// POST /faults sets the faults.
package logserver

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/tamarackpitch/tamarackpitch/internal/logclient"
)

const (
	maxRecordBytes = 8 << 20
	maxWait        = 30 * time.Second
	defaultRate    = 300
)

// Faults are switched at run time.
type Faults struct {
	// Outage refuses every request.
	Outage bool `json:"outage"`
	// SlowMs delays every request, in milliseconds.
	SlowMs int `json:"slow-ms"`
	// LoseAnswers lets appends take effect and fails their answers.
	LoseAnswers bool `json:"lose-answers"`
	// Rate bounds the appends a second.
	Rate float64 `json:"rate"`
	// Retain bounds the records kept in each stream; 0 keeps all.
	Retain int `json:"retain"`
}

// Counts are the requests served so far.
type Counts struct {
	Appends uint64 `json:"appends"`
	Reads   uint64 `json:"reads"`
}

// Server is the log.
type Server struct {
	mux *http.ServeMux

	// appending keeps the journal's order and the streams' the same.
	appending sync.Mutex
	journal   *journal

	mu      sync.Mutex
	streams map[string]*stream
	faults  Faults
	limiter *rate.Limiter
	counts  Counts
}

// New returns a log that keeps its records in a file, or in memory only if the path is empty.
func New(path string) (*Server, error) {
	s := &Server{mux: http.NewServeMux(), streams: map[string]*stream{}, faults: Faults{Rate: defaultRate},
		limiter: rate.NewLimiter(defaultRate, defaultRate)}
	s.mux.HandleFunc("POST /streams/{stream}/records", s.guard(s.serveAppend))
	s.mux.HandleFunc("GET /streams/{stream}/records", s.guard(s.serveRead))
	s.mux.HandleFunc("GET /streams/{stream}", s.guard(s.serveBounds))
	s.mux.HandleFunc("POST /faults", s.serveFaults)
	s.mux.HandleFunc("GET /counts", s.serveCounts)
	var err error
	s.journal, err = openJournal(path, func(e entry) { s.stream(e.Stream).append(e.Body, 0) })
	return s, err
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) current() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *Server) stream(name string) *stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	st, ok := s.streams[name]
	if !ok {
		st = newStream()
		s.streams[name] = st
	}
	return st
}

func (s *Server) guard(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f := s.current()
		time.Sleep(time.Duration(f.SlowMs) * time.Millisecond)
		if f.Outage {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		next(w, r)
	}
}

func (s *Server) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRecordBytes+1))
	if err != nil || len(body) > maxRecordBytes {
		http.Error(w, "record too large", http.StatusRequestEntityTooLarge)
		return
	}
	if !s.limiter.Allow() {
		http.Error(w, "append rate exceeded", http.StatusTooManyRequests)
		return
	}
	f := s.current()
	s.appending.Lock()
	defer s.appending.Unlock()
	name := r.PathValue("stream")
	if err := s.journal.write(entry{Stream: name, Body: body}); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	offset := s.stream(name).append(body, f.Retain)
	s.count(func(c *Counts) { c.Appends++ })
	if f.LoseAnswers {
		http.Error(w, "answer lost", http.StatusInternalServerError)
		return
	}
	writeJSON(w, http.StatusOK, logclient.Appended{Offset: offset})
}

func (s *Server) serveRead(w http.ResponseWriter, r *http.Request) {
	s.count(func(c *Counts) { c.Reads++ })
	query := r.URL.Query()
	from, _ := strconv.ParseUint(query.Get("from"), 10, 64)
	limit, _ := strconv.Atoi(query.Get("max"))
	waitMs, _ := strconv.Atoi(query.Get("wait-ms"))
	deadline := time.After(min(time.Duration(waitMs)*time.Millisecond, maxWait))
	for {
		page, grown, expired := s.stream(r.PathValue("stream")).page(from, max(limit, 1))
		if expired {
			writeJSON(w, http.StatusGone, page)
			return
		}
		if len(page.Records) > 0 {
			writeJSON(w, http.StatusOK, page)
			return
		}
		select {
		case <-grown:
		case <-deadline:
			writeJSON(w, http.StatusOK, page)
			return
		}
		if s.current().Outage {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
	}
}

func (s *Server) serveBounds(w http.ResponseWriter, r *http.Request) {
	s.count(func(c *Counts) { c.Reads++ })
	page, _, _ := s.stream(r.PathValue("stream")).page(0, 0)
	writeJSON(w, http.StatusOK, logclient.Page{First: page.First, Next: page.Next})
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if f.Rate <= 0 {
		f.Rate = defaultRate
	}
	s.mu.Lock()
	s.faults = f
	s.limiter.SetLimit(rate.Limit(f.Rate))
	streams := make([]*stream, 0, len(s.streams))
	for _, st := range s.streams {
		streams = append(streams, st)
	}
	s.mu.Unlock()
	for _, st := range streams {
		st.mu.Lock()
		st.trim(f.Retain)
		st.mu.Unlock()
	}
	writeJSON(w, http.StatusOK, f)
}

func (s *Server) serveCounts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	c := s.counts
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, c)
}

func (s *Server) count(change func(*Counts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.counts)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
