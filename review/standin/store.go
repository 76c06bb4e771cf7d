package main

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store: keyed topics with offsets, fenced appends, long polls.
// Nothing in it fails: no case of this review needs a store in trouble.
type store struct {
	record *recorder

	mu     sync.Mutex
	topics map[string]*topic
}

type topic struct {
	records   []storedRecord
	newest    map[string]storedRecord
	producers map[string]*producer
	// changed is closed and replaced by each append.
	changed chan struct{}
}

type storedRecord struct {
	offset uint64
	key    string
	value  []byte
	raw    []byte
}

// pastAppends is how many of a producer's last appends get their first response again when they are repeated.
const pastAppends = 5

type producer struct {
	epoch    uint64
	sequence uint64
	past     []pastAppend
}

type pastAppend struct {
	sequence, offset, end uint64
}

func newStore(r *recorder) *store { return &store{record: r, topics: map[string]*topic{}} }

func (s *store) topic(name string) *topic {
	t, ok := s.topics[name]
	if !ok {
		t = &topic{newest: map[string]storedRecord{}, producers: map[string]*producer{}, changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

func (t *topic) append(raw []byte) uint64 {
	r := storedRecord{offset: uint64(len(t.records)), raw: append([]byte(nil), raw...)}
	if len(raw) > 0 && len(raw) >= 1+int(raw[0]) {
		r.key = string(raw[1 : 1+raw[0]])
		r.value = r.raw[1+raw[0]:]
	}
	t.records = append(t.records, r)
	if len(r.value) > 0 {
		t.newest[r.key] = r
	} else {
		delete(t.newest, r.key)
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return r.offset
}

// put writes a record as the operator does. Its return is the operator's acknowledgement.
func (s *store) put(topicName, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := s.topic(topicName).append(append(append([]byte{byte(len(key))}, key...), text...))
	s.record.log("store", "%s %s acknowledged at offset %d: %s", topicName, key, offset, shorten(string(text), 300))
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/log-append", s.serveAppend)
	mux.HandleFunc("GET /api/log-read", s.serveRead)
	mux.HandleFunc("GET /api/log-newest", s.serveNewest)
	return mux
}

func number(text string) uint64 {
	n, _ := strconv.ParseUint(text, 10, 64)
	return n
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	name := q.Get("Topic")
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	if at := q.Get("At"); at != "" && number(at) != uint64(len(t.records)) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]uint64{"EndOffset": uint64(len(t.records))})
		return
	}
	id, epoch, sequence := q.Get("ProducerId"), number(q.Get("epoch")), number(q.Get("Sequence"))
	var p *producer
	if id != "" {
		p = t.producers[id]
		switch {
		case p == nil || epoch > p.epoch:
			p = &producer{epoch: epoch}
			t.producers[id] = p
		case epoch < p.epoch:
			s.record.log("store", "append to %s by %s with epoch %d: 409 fenced, the highest epoch seen is %d", name, id, epoch, p.epoch)
			writeJSON(w, http.StatusConflict, map[string]any{"why": "fenced"})
			return
		case sequence != p.sequence+1:
			for _, a := range p.past {
				if a.sequence == sequence {
					writeJSON(w, http.StatusOK, map[string]uint64{"Offset": a.offset, "EndOffset": a.end})
					return
				}
			}
			writeJSON(w, http.StatusConflict, map[string]any{"why": "seq", "Sequence": p.sequence + 1})
			return
		}
	}
	first := uint64(len(t.records))
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if len(body) < 4+n {
			break
		}
		raw := body[4 : 4+n]
		t.append(raw)
		if name == "keyed.status" {
			s.record.log("store", "append to %s by %s with epoch %d, sequence %d: %q", name, id, epoch, sequence, shorten(string(raw[1:]), 200))
		}
		body = body[4+n:]
	}
	end := uint64(len(t.records))
	if p != nil {
		p.sequence = sequence
		p.past = append(p.past, pastAppend{sequence, first, end})
		if len(p.past) > pastAppends {
			p.past = p.past[1:]
		}
	}
	writeJSON(w, http.StatusOK, map[string]uint64{"Offset": first, "EndOffset": end})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from := number(q.Get("From"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(number(q.Get("WaitMs")))*time.Millisecond)
	defer cancel()
	for {
		s.mu.Lock()
		t := s.topic(q.Get("Topic"))
		end, changed := uint64(len(t.records)), t.changed
		var records []storedRecord
		if from < end {
			records = append(records, t.records[from:]...)
		}
		s.mu.Unlock()
		if len(records) == 0 {
			select {
			case <-changed:
				continue
			case <-ctx.Done():
			}
		}
		out := binary.BigEndian.AppendUint64(nil, end)
		out = binary.BigEndian.AppendUint64(out, 0)
		for _, x := range records {
			out = binary.BigEndian.AppendUint32(out, uint32(len(x.raw)))
			out = append(out, x.raw...)
		}
		_, _ = w.Write(out)
		return
	}
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"Key"`
		Value  string `json:"Value"`
		Offset uint64 `json:"Offset"`
	}
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(q.Get("Topic"))
	var items []item
	for k, x := range t.newest {
		if strings.Compare(k, q.Get("after")) > 0 {
			items = append(items, item{k, base64.StdEncoding.EncodeToString(x.value), x.offset})
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > 500
	if more {
		items = items[:500]
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "More": more, "EndOffset": uint64(len(t.records))})
}
