package logserver

import (
	"sync"

	"github.com/tamarackpitch/tamarackpitch/internal/logclient"
)

// record is one record of a stream. Its id may be empty.
type record struct {
	id   string
	body []byte
}

// stream is an append-only sequence of records.
type stream struct {
	// mu guards the fields below it.
	mu sync.Mutex
	// records have consecutive offsets, beginning with first.
	records []record
	first   uint64
	// offsets holds the offsets of the records that have an id, by id.
	offsets map[string]uint64
	// appended is closed and replaced at each append.
	appended chan struct{}
}

func newStream() *stream {
	return &stream{offsets: map[string]uint64{}, appended: make(chan struct{})}
}

// find returns the offset of the retained record with a non-empty id, and whether there is one.
func (s *stream) find(id string) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	offset, ok := s.offsets[id]
	return offset, ok
}

// append adds a record, drops old ones as trim does, and returns the record's offset.
func (s *stream) append(id string, body []byte, retain int) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := s.first + uint64(len(s.records))
	s.records = append(s.records, record{id: id, body: body})
	if id != "" {
		s.offsets[id] = offset
	}
	s.trim(retain)
	close(s.appended)
	s.appended = make(chan struct{})
	return offset
}

// trim drops the oldest records so that at most retain are left; 0 drops none. The caller holds mu.
func (s *stream) trim(retain int) {
	if retain > 0 && len(s.records) > retain {
		drop := len(s.records) - retain
		for _, r := range s.records[:drop] {
			delete(s.offsets, r.id)
		}
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
		page.Records = append(page.Records, logclient.Record{Offset: offset, Body: s.records[offset-s.first].body})
	}
	return page, s.appended, false
}
