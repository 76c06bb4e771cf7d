package logserver

import (
	"sync"

	"github.com/tamarackpitch/tamarackpitch/internal/logclient"
)

// stream is an append-only sequence of records.
type stream struct {
	// mu guards the fields below it.
	mu sync.Mutex
	// records have consecutive offsets, beginning with first.
	records [][]byte
	first   uint64
	// appended is closed and replaced at each append.
	appended chan struct{}
}

func newStream() *stream { return &stream{appended: make(chan struct{})} }

// append adds a record, drops old ones as trim does, and returns the record's offset.
func (s *stream) append(body []byte, retain int) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := s.first + uint64(len(s.records))
	s.records = append(s.records, body)
	s.trim(retain)
	close(s.appended)
	s.appended = make(chan struct{})
	return offset
}

// trim drops the oldest records so that at most retain are left; 0 drops none. The caller holds mu.
func (s *stream) trim(retain int) {
	if retain > 0 && len(s.records) > retain {
		drop := len(s.records) - retain
		s.records = s.records[drop:]
		s.first += uint64(drop)
	}
}

// page returns up to limit records from an offset on, and a channel that is closed at the next append.
// The page is expired, and has no records, if the stream no longer retains that offset.
func (s *stream) page(from uint64, limit int) (page logclient.Page, appended <-chan struct{}, expired bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.first + uint64(len(s.records))
	page = logclient.Page{First: s.first, Next: next}
	if from < s.first {
		return page, s.appended, true
	}
	for offset := from; offset < next && len(page.Records) < limit; offset++ {
		page.Records = append(page.Records, logclient.Record{Offset: offset, Body: s.records[offset-s.first]})
	}
	return page, s.appended, false
}
