// Package logserver implements a stand-in for the platform's append-only log service in tests.
//
// It serves HTTP: POST /streams/{stream}/records?id= appends a record, or answers with the offset of the retained record
// that was appended with the same non-empty id,
// GET /streams/{stream}/records?from=&max=&wait-ms= reads records, GET /streams/{stream} returns the first
// retained and the next offset, POST /faults replaces the injected faults and GET /counts returns Counts.
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
	// maxReadWait bounds wait-ms of a read.
	maxReadWait = 30 * time.Second
	// defaultAppendRate is the limit of appends per second, and the burst at any rate.
	defaultAppendRate = 300
)

// Faults are the faults that the server injects. The zero value injects none.
type Faults struct {
	// Outage answers every request on a stream with status 503.
	Outage bool `json:"outage"`
	// SlowMs delays every request on a stream, in milliseconds.
	SlowMs int `json:"slow-ms"`
	// LoseAnswers answers appends that took effect with status 500.
	LoseAnswers bool `json:"lose-answers"`
	// Rate is the limit of appends per second; 0 means 300.
	Rate float64 `json:"rate"`
	// Retain is the number of newest records that each stream keeps; 0 keeps all.
	Retain int `json:"retain"`
}

// Counts are numbers of requests since the start.
type Counts struct {
	// Appends counts the appends that took effect.
	Appends uint64 `json:"appends"`
	// Reads counts the requests for records and for offsets.
	Reads uint64 `json:"reads"`
}

// Server is the stand-in log service. It is safe for concurrent use.
type Server struct {
	mux *http.ServeMux

	// appendMu is held while a record is looked up by its id and added, so that no id is added twice, and journal and
	// streams have the records in the same order.
	appendMu sync.Mutex
	journal  *journal

	// mu guards streams, faults and counts.
	mu      sync.Mutex
	streams map[string]*stream
	faults  Faults
	limiter *rate.Limiter
	counts  Counts
}

// New returns a Server that keeps its records in the file at path, or in memory only if path is empty.
// It starts with the records that the file holds.
func New(path string) (*Server, error) {
	s := &Server{mux: http.NewServeMux(), streams: map[string]*stream{}, faults: Faults{Rate: defaultAppendRate},
		limiter: rate.NewLimiter(defaultAppendRate, defaultAppendRate)}
	s.mux.HandleFunc("POST /streams/{stream}/records", s.withFaults(s.serveAppend))
	s.mux.HandleFunc("GET /streams/{stream}/records", s.withFaults(s.serveRead))
	s.mux.HandleFunc("GET /streams/{stream}", s.withFaults(s.serveBounds))
	s.mux.HandleFunc("POST /faults", s.serveFaults)
	s.mux.HandleFunc("GET /counts", s.serveCounts)
	var err error
	s.journal, err = openJournal(path, func(e entry) { s.stream(e.Stream).append(e.ID, e.Body, 0) })
	return s, err
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// stream returns a stream, which it creates if necessary.
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

// withFaults delays or refuses requests as the injected faults say.
func (s *Server) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f := s.currentFaults()
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
		http.Error(w, "record unreadable or too large", http.StatusRequestEntityTooLarge)
		return
	}
	if !s.limiter.Allow() {
		http.Error(w, "append rate limit exceeded", http.StatusTooManyRequests)
		return
	}
	f := s.currentFaults()
	s.appendMu.Lock()
	defer s.appendMu.Unlock()
	name, id := r.PathValue("stream"), r.URL.Query().Get("id")
	offset, repeated := s.stream(name).find(id)
	if !repeated {
		if err := s.journal.write(entry{Stream: name, ID: id, Body: body}); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		offset = s.stream(name).append(id, body, f.Retain)
		s.updateCounts(func(c *Counts) { c.Appends++ })
	}
	if f.LoseAnswers {
		http.Error(w, "record appended, but the answer is lost (injected fault)", http.StatusInternalServerError)
		return
	}
	writeJSON(w, http.StatusOK, logclient.AppendResponse{Offset: offset})
}

// serveRead returns records from an offset on, and waits up to wait-ms for the first one. If records from
// that offset on are no longer retained, it answers with status 410 and the offsets of the stream.
func (s *Server) serveRead(w http.ResponseWriter, r *http.Request) {
	s.updateCounts(func(c *Counts) { c.Reads++ })
	query := r.URL.Query()
	from, _ := strconv.ParseUint(query.Get("from"), 10, 64)
	limit, _ := strconv.Atoi(query.Get("max"))
	waitMs, _ := strconv.Atoi(query.Get("wait-ms"))
	deadline := time.After(min(time.Duration(waitMs)*time.Millisecond, maxReadWait))
	for {
		page, appended, expired := s.stream(r.PathValue("stream")).page(from, max(limit, 1))
		if expired {
			writeJSON(w, http.StatusGone, page)
			return
		}
		if len(page.Records) > 0 {
			writeJSON(w, http.StatusOK, page)
			return
		}
		select {
		case <-appended:
		case <-deadline:
			writeJSON(w, http.StatusOK, page)
			return
		}
		if s.currentFaults().Outage {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
	}
}

// serveBounds returns the first retained and the next offset of a stream.
func (s *Server) serveBounds(w http.ResponseWriter, r *http.Request) {
	s.updateCounts(func(c *Counts) { c.Reads++ })
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
		f.Rate = defaultAppendRate
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

func (s *Server) updateCounts(change func(*Counts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.counts)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
