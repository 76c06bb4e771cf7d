package forwarder

import (
	"github.com/lesismal/nbio/nbhttp"
)

const (
	// maxHeaderBytes limits the head of a message.
	maxHeaderBytes = 32 << 10
	// maxHeaderLines limits the number of header fields of a message.
	maxHeaderLines = 128
	// parserReadLimit limits what the parser buffers, in bytes: a head or a short body.
	parserReadLimit = 1 << 20
	// maxBufferedBodyBytes is the length up to which a body is buffered whole before it is passed on.
	maxBufferedBodyBytes = 64 << 10
	// lengthCloseDelimited stands for the length of a response body that ends when the connection closes.
	lengthCloseDelimited = -1
	// lengthChunked stands for the length of a chunked body.
	lengthChunked = -2
)

// parserEngine only holds the parser's read limit; it is never started.
var parserEngine = &nbhttp.Engine{Config: nbhttp.Config{ReadLimit: parserReadLimit}}

// messageHandler receives the messages of a connection. An error from onHead, onBody or onEnd closes the connection.
type messageHandler interface {
	// expects reports whether a message may begin now. Input that begins one otherwise closes the connection.
	expects() bool
	// onHead is called with a complete head.
	onHead(m *message) error
	// onBody is called with each piece of the body. The piece is valid only during the call.
	onBody(data []byte) error
	// onEnd is called once for each message, after its body. surplus reports whether more input has arrived with the end of
	// a response.
	onEnd(surplus bool) error
	// isHead reports whether the response being read answers a HEAD request.
	isHead() bool
}

// reader parses the input of a connection: responses if client is set, else requests. nbhttp's parser buffers a whole
// body or chunk before it passes it on. To stream long and chunked bodies, the reader takes the bytes after the head
// from the parser and decodes the body itself. It does so for all responses, and uses a new parser for each, so that no
// part of one can become a part of the next.
type reader struct {
	handler messageHandler
	client  bool
	parser  *nbhttp.Parser
	message *message
	// input is what is being parsed, and head the parts of an incomplete response head that were parsed before.
	input []byte
	head  []byte
	// err is the first error found by a callback of the parser.
	err error
	// inBody is set once the head of the current message has been passed on.
	inBody bool

	// bypassed is set if the parser passes everything after the head of the current message to Parse, and rawBody once
	// Parse has been called, so that input belongs to the body.
	bypassed bool
	rawBody  bool
	// remaining is the number of body bytes still to come, or lengthCloseDelimited. It is unused if chunks is set.
	remaining int64
	// collects is set if the body is short enough to be passed on as a whole; collected is its beginning.
	collects  bool
	collected []byte
	// starts looks for the beginning of another response in the body of a response.
	starts startFinder
	// chunks decodes a chunked body, or is nil.
	chunks *chunkDecoder
	// leftover is the input after the head that Parse has taken from the parser.
	leftover []byte
	// heldCR is set if a carriage return at the end of the input has been held back. See feed.
	heldCR bool
}

func newReader(handler messageHandler, client bool) *reader {
	r := &reader{handler: handler, client: client}
	r.reset()
	return r
}

// reset prepares for the next message with a new parser.
func (r *reader) reset() {
	r.parser = nbhttp.NewParser(nil, parserEngine, r, r.client, nil)
	r.bypassed = false
	r.rawBody = false
	r.remaining = 0
	r.collects = false
	r.collected = nil
	r.starts = startFinder{}
	r.chunks = nil
	r.leftover = nil
	r.head = nil
}

// feed parses bytes read from the connection. The parser passes a head on at its last carriage return. A carriage return
// at the end of the input is therefore held back until more follows, so that a head without its last line feed, which is
// truncated, is not taken for a complete one.
func (r *reader) feed(data []byte) error {
	if r.heldCR {
		r.heldCR = false
		data = append([]byte{'\r'}, data...)
	}
	if n := len(data) - 1; n >= 0 && data[n] == '\r' {
		if err := r.feedParts(data[:n]); err != nil {
			return err
		}
		if r.message != nil && !r.inBody {
			r.heldCR = true
			return nil
		}
		data = data[n:]
	}
	return r.feedParts(data)
}

// feedParts parses input, the parts of which the parser and the reader itself decode.
func (r *reader) feedParts(data []byte) error {
	for {
		if r.rawBody {
			n, err := r.feedRaw(data)
			if err != nil {
				return err
			}
			data = data[n:]
		}
		if len(data) == 0 {
			return nil
		}
		if err := r.parse(data); err != nil {
			return err
		}
		data = r.leftover
		r.leftover = nil
		if !r.rawBody {
			return nil
		}
	}
}

func (r *reader) parse(data []byte) error {
	if !r.inBody && r.message != nil && r.message.receivedBytes > maxHeaderBytes {
		return &Error{Operation: "parse", Kind: KindTooLarge, Detail: "header"}
	}
	if !r.inBody {
		if r.message == nil && !r.handler.expects() {
			return &Error{Operation: "read", Kind: KindMalformed, Detail: "input without a request"}
		}
		r.countHeadBytes(len(data))
	}
	r.input = data
	err := r.parser.Parse(data)
	r.input = nil
	switch {
	case r.err != nil:
		return r.err
	case err != nil:
		return &Error{Operation: "parse", Kind: KindMalformed, Detail: err.Error()}
	case r.client && !r.rawBody:
		return r.keepHead(data)
	}
	return nil
}

// keepHead keeps a part of an incomplete response head.
func (r *reader) keepHead(data []byte) error {
	r.head = append(r.head, data...)
	if len(r.head) > maxHeaderBytes {
		return &Error{Operation: "parse", Kind: KindTooLarge, Detail: "header"}
	}
	return nil
}

// countHeadBytes counts the received bytes of an incomplete head, so that parse also limits a head that arrives without
// one complete line.
func (r *reader) countHeadBytes(n int) {
	if r.message == nil {
		r.message = &message{length: -1}
	}
	r.message.receivedBytes += n
}

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
		r.starts.scan(data)
	}
}

// mayFollow reports whether input may follow a message at once. After a response, another one may, and so may bytes that
// are none. But if such bytes follow a body with the beginning of a response in it, a repeated response may have taken the
// place of the body's end.
func (r *reader) mayFollow(input []byte) bool {
	n := min(len(input), len(protocolPrefix))
	return !r.client || string(input[:n]) == protocolPrefix[:n] || !r.starts.found(input)
}

func errSurplus() error {
	return &Error{Operation: "parse", Kind: KindMalformed, Detail: "surplus input after a response"}
}

func (r *reader) feedChunks(data []byte) (int, error) {
	n, err := r.chunks.decode(data, r.passChunk)
	if err != nil {
		return n, err
	}
	if !r.chunks.done() {
		return n, nil
	}
	if !r.mayFollow(data[n:]) {
		return n, errSurplus()
	}
	r.reset()
	return n, r.end(n < len(data))
}

func (r *reader) end(surplus bool) error {
	r.message = nil
	r.inBody = false
	return r.handler.onEnd(r.client && surplus)
}

// closeDelimited reports whether the body being read ends when the connection closes.
func (r *reader) closeDelimited() bool {
	return r.rawBody && r.chunks == nil && r.remaining == lengthCloseDelimited
}

// finish is called when the connection has been closed, by the peer without a reset or otherwise. It reports whether
// the last message is complete.
func (r *reader) finish(peerClosed bool) bool {
	if peerClosed && r.closeDelimited() {
		r.reset()
		return r.end(false) == nil
	}
	return r.message == nil && !r.inBody
}
