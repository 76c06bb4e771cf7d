package forwarder

import (
	"errors"

	"github.com/lesismal/nbio/nbhttp"

	"github.com/tamarackpitch/tamarackpitch/internal/parser"
)

const (
	// maxHeaderBytes limits the head of a message.
	maxHeaderBytes = parser.MaxHeadBytes
	// maxHeaderLines limits the number of header fields of a message.
	maxHeaderLines = parser.MaxFields
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

// reader parses the input of a connection: responses if client is set, else requests. It decodes all bodies of responses, and
// of requests the long and the chunked ones, as they arrive. The heads of requests are parsed by nbhttp's parser, which
// would buffer a whole body or chunk before it passes it on.
type reader struct {
	handler messageHandler
	client  bool
	message *message
	// inBody is set once the head of the current message has been passed on.
	inBody bool

	// head parses the head of a response.
	head parser.HeadParser

	// requests parses the heads of requests.
	requests *nbhttp.Parser
	// err is the first error found by a callback of requests.
	err error
	// bypassed is set if requests passes everything after the head of the current message to Parse.
	bypassed bool
	// leftover is the input after the head that Parse has taken from requests.
	leftover []byte
	// heldCR is set if a carriage return at the end of the input has been held back. See feedRequests.
	heldCR bool

	// rawBody is set once the reader decodes the body of the current message, so that input belongs to the body.
	rawBody bool
	// remaining is the number of body bytes still to come, or lengthCloseDelimited. It is unused if chunks is set.
	remaining int64
	// collects is set if the body is short enough to be passed on as a whole; collected is its beginning.
	collects  bool
	collected []byte
	// starts looks for the beginning of another response in the body of a response.
	starts parser.StartFinder
	// chunks decodes a chunked body, or is nil.
	chunks *parser.ChunkDecoder
}

func newReader(handler messageHandler, client bool) *reader {
	r := &reader{handler: handler, client: client}
	r.reset()
	return r
}

// reset prepares for the next message, with new parsers, so that no part of one message can become a part of the next.
func (r *reader) reset() {
	r.head = parser.HeadParser{}
	if !r.client {
		r.requests = nbhttp.NewParser(nil, parserEngine, r, false, nil)
	}
	r.bypassed = false
	r.leftover = nil
	r.rawBody = false
	r.remaining = 0
	r.collects = false
	r.collected = nil
	r.starts = parser.StartFinder{}
	r.chunks = nil
}

// feed parses bytes read from the connection.
func (r *reader) feed(data []byte) error {
	if r.client {
		return r.feedParts(data)
	}
	return r.feedRequests(data)
}

// feedParts parses input, heads and bodies in turn.
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
		rest, err := r.feedHead(data)
		if err != nil {
			return err
		}
		data = rest
		if !r.rawBody {
			return nil
		}
	}
}

// feedHead parses input that begins with a head or with the next part of one. It returns what follows the head.
func (r *reader) feedHead(data []byte) (rest []byte, err error) {
	if r.message == nil && !r.handler.expects() {
		return nil, &Error{Operation: "read", Kind: KindMalformed, Detail: "input without a request"}
	}
	if r.client {
		return r.feedResponseHead(data)
	}
	return r.feedRequestHead(data)
}

// startBody has the reader decode the body of the current message, which has a length, lengthCloseDelimited or
// lengthChunked.
func (r *reader) startBody(length int64) {
	r.remaining = length
	r.collects = r.client && length > 0 && length <= maxBufferedBodyBytes
	if length == lengthChunked {
		r.chunks = &parser.ChunkDecoder{}
	}
}

// parseError returns an error of the package parser as one of this package, and any other one as it is.
func parseError(err error) error {
	var typed *parser.Error
	if !errors.As(err, &typed) {
		return err
	}
	kind := KindMalformed
	if typed.Kind == parser.KindTooLarge {
		kind = KindTooLarge
	}
	return &Error{Operation: typed.Operation, Kind: kind, Detail: typed.Detail}
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
