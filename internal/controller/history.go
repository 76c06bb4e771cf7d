package controller

import (
	"github.com/tamarackpitch/tamarackpitch/pkg/reducer"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

const (
	maxHistoryRecords = 1024
	maxHistoryBytes   = 8 << 20
	// maxAnswerBytes bounds the records in one answer to a pull; at least one record is sent.
	maxAnswerBytes = 256 << 10
)

// history keeps the newest records, for pulls by neighbours that lag.
type history struct {
	// records are consecutive in offset, and bytes is the sum of their bodies.
	records []*schema.LogRecord
	bytes   int
}

func (h *history) add(r *schema.LogRecord) {
	h.records = append(h.records, r)
	h.bytes += len(r.Body)
	for len(h.records) > maxHistoryRecords || h.bytes > maxHistoryBytes {
		h.bytes -= len(h.records[0].Body)
		h.records[0] = nil
		h.records = h.records[1:]
	}
}

// from returns the records from a position on, as many as fit one answer, or false if the history does not reach it.
func (h *history) from(position reducer.Position) ([]*schema.LogRecord, bool) {
	if len(h.records) == 0 || uint64(position) < h.records[0].Offset {
		return nil, false
	}
	start := uint64(position) - h.records[0].Offset
	if start >= uint64(len(h.records)) {
		return nil, false
	}
	var bytes, n int
	for _, r := range h.records[start:] {
		bytes += len(r.Body)
		if n > 0 && bytes > maxAnswerBytes {
			break
		}
		n++
	}
	return h.records[start : start+uint64(n)], true
}
