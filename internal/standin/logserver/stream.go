package logserver

import (
	"sync"

	"github.com/tamarackpitch/tamarackpitch/internal/logclient"
)

// stream is one append-only sequence of records.
type stream struct {
	mu sync.Mutex
	// records are consecutive in offset, the first at first.
	records [][]byte
	first   uint64
	// grown is closed and replaced at each append.
	grown chan struct{}
}

func newStream() *stream { return &stream{grown: make(chan struct{})} }

func (s *stream) append(body []byte, retain int) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := s.first + uint64(len(s.records))
	s.records = append(s.records, body)
	s.trim(retain)
	close(s.grown)
	s.grown = make(chan struct{})
	return offset
}

func (s *stream) trim(retain int) {
	if retain > 0 && len(s.records) > retain {
		drop := len(s.records) - retain
		s.records = s.records[drop:]
		s.first += uint64(drop)
	}
}

// page returns up to limit records from an offset on, and a channel that closes with the next append.
func (s *stream) page(from uint64, limit int) (page logclient.Page, grown <-chan struct{}, expired bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.first + uint64(len(s.records))
	page = logclient.Page{First: s.first, Next: next}
	if from < s.first {
		return page, s.grown, true
	}
	for offset := from; offset < next && len(page.Records) < limit; offset++ {
		page.Records = append(page.Records, logclient.Record{Offset: offset, Body: s.records[offset-s.first]})
	}
	return page, s.grown, false
}
