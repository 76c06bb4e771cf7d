package forwarder

import "github.com/tamarackpitch/tamarackpitch/internal/parser"

// feedRaw decodes the next part of a body and returns the number of bytes that belong to it.
func (r *reader) feedRaw(data []byte) (int, error) {
	if r.chunks != nil {
		return r.feedChunks(data)
	}
	n := len(data)
	if r.remaining != lengthCloseDelimited {
		n = int(min(int64(n), r.remaining))
		r.remaining -= int64(n)
	}
	r.scan(data[:n])
	if r.remaining == 0 && !r.mayFollow(data[n:]) {
		return n, errSurplus()
	}
	if n > 0 {
		if err := r.passBody(data[:n]); err != nil {
			return n, err
		}
	}
	if r.remaining == 0 {
		r.reset()
		return n, r.end(n < len(data))
	}
	return n, nil
}

// passBody passes on a piece of the body, or the whole of a short one.
func (r *reader) passBody(data []byte) error {
	if !r.collects || r.remaining == 0 && len(r.collected) == 0 {
		return r.handler.onBody(data)
	}
	r.collected = append(r.collected, data...)
	if r.remaining > 0 {
		return nil
	}
	return r.handler.onBody(r.collected)
}

// passChunk passes on a piece of a chunked body.
func (r *reader) passChunk(data []byte) error {
	r.scan(data)
	return r.handler.onBody(data)
}

func (r *reader) scan(data []byte) {
	if r.client {
		r.starts.Scan(data)
	}
}

// mayFollow reports whether input may follow a message at once. After a response, another one may, and so may bytes that
// are none. But if such bytes follow a body with the beginning of a response in it, a repeated response may have taken the
// place of the body's end.
func (r *reader) mayFollow(input []byte) bool {
	n := min(len(input), len(parser.ProtocolPrefix))
	return !r.client || string(input[:n]) == parser.ProtocolPrefix[:n] || !r.starts.Found(input)
}

func errSurplus() error {
	return &Error{Operation: "parse", Kind: KindMalformed, Detail: "surplus input after a response"}
}

func (r *reader) feedChunks(data []byte) (int, error) {
	n, err := r.chunks.Decode(data, r.passChunk)
	if err != nil {
		return n, parseError(err)
	}
	if !r.chunks.Done() {
		return n, nil
	}
	if !r.mayFollow(data[n:]) {
		return n, errSurplus()
	}
	r.reset()
	return n, r.end(n < len(data))
}
