package forwarder

import "github.com/tamarackpitch/tamarackpitch/internal/parser"

// feedResponseHead parses the next part of a response's head and passes the head on once it is complete.
func (r *reader) feedResponseHead(data []byte) (rest []byte, err error) {
	if r.message == nil {
		r.message = &message{}
	}
	n, err := r.head.Parse(data)
	if err != nil {
		return nil, parseError(err)
	}
	if !r.head.Done() {
		return nil, nil
	}
	h := r.head.Head()
	r.message = responseMessage(h)
	r.rawBody = true
	r.startBody(r.responseBodyLength(h))
	r.inBody = true
	return data[n:], r.handler.onHead(r.message)
}

func responseMessage(h *parser.Head) *message {
	return &message{proto: h.Proto, status: h.Status, reason: h.Reason, header: h.Fields, length: h.Length, chunked: h.Chunked,
		hasLength: h.Length != parser.LengthUnstated}
}

// responseBodyLength returns the length of a response's body, lengthCloseDelimited or lengthChunked.
func (r *reader) responseBodyLength(h *parser.Head) int64 {
	switch {
	case parser.Bodyless(h.Status) || r.handler.isHead():
		return 0
	case h.Chunked:
		return lengthChunked
	case h.Length == parser.LengthUnstated:
		return lengthCloseDelimited
	}
	return h.Length
}
