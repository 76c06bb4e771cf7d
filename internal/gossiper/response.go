package gossiper

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"golang.org/x/net/http2"

	"github.com/tamarackpitch/tamarackpitch/internal/parser"
)

const (
	statusField = ":status"
	lengthField = "content-length"
	// resultField states in the trailers whether the call has failed.
	resultField = "grpc-status"
	// grpcHTTPStatus is the only status with which a response of gRPC may begin, apart from interim responses.
	grpcHTTPStatus = http.StatusOK
)

// response is what has been received of a response on one stream (RFC 9113, section 8.1).
type response struct {
	// headRead is set after a head that is not that of an interim response.
	headRead bool
	// length is the length of the body that the head states, in bytes, or parser.LengthUnstated.
	length int64
	// received is the length of what has been received of the body. It is at most length if that is stated.
	received int64
}

// newResponse returns a response whose head is expected.
func newResponse() *response { return &response{length: parser.LengthUnstated} }

// addFields takes the head of an interim response, a head, or trailers. The framer has checked names and values.
func (r *response) addFields(f *http2.MetaHeadersFrame) error {
	if r.headRead {
		return r.addTrailers(f)
	}
	status, err := statusOf(f)
	if err != nil {
		return err
	}
	length, err := lengthOf(f)
	switch {
	case err != nil:
		return err
	case status == grpcHTTPStatus:
		r.headRead, r.length = true, length
		return nil
	case f.StreamEnded():
		return errors.New("interim response at the end")
	case length > 0:
		return errors.New("interim response with a body")
	}
	return nil
}

// statusOf returns the status that a head states. It is that of gRPC or of an interim response.
func statusOf(f *http2.MetaHeadersFrame) (int, error) {
	pseudo := f.PseudoFields()
	if len(pseudo) != 1 || pseudo[0].Name != statusField {
		return 0, errors.New("not one status")
	}
	status, ok := parser.ParseStatus(pseudo[0].Value)
	if !ok || status != grpcHTTPStatus && status >= http.StatusOK {
		return 0, fmt.Errorf("status %q", pseudo[0].Value)
	}
	return status, nil
}

// lengthOf returns the length of the body that a head states, or parser.LengthUnstated.
func lengthOf(f *http2.MetaHeadersFrame) (int64, error) {
	length := int64(parser.LengthUnstated)
	for _, field := range f.RegularFields() {
		if field.Name != lengthField {
			continue
		}
		var err error
		if length, err = parser.AddLength(length, field.Value); err != nil {
			return 0, err
		}
	}
	return length, nil
}

// addTrailers takes the trailers.
func (r *response) addTrailers(f *http2.MetaHeadersFrame) error {
	if len(f.PseudoFields()) > 0 || !f.StreamEnded() {
		return errors.New("second head")
	}
	return checkResult(f)
}

// checkResult checks that trailers state at most one result, a number. gRPC takes a missing one for a failure.
func checkResult(f *http2.MetaHeadersFrame) error {
	stated := false
	for _, field := range f.RegularFields() {
		if field.Name != resultField {
			continue
		}
		if _, err := strconv.ParseUint(field.Value, 10, 32); stated || err != nil {
			return fmt.Errorf("%s %q", resultField, field.Value)
		}
		stated = true
	}
	return nil
}

// addData takes a part of the body of n bytes.
func (r *response) addData(n int) error {
	if !r.headRead {
		return errors.New("data after an interim response")
	}
	r.received += int64(n)
	if r.length != parser.LengthUnstated && r.received > r.length {
		return fmt.Errorf("body of more than the %d bytes stated", r.length)
	}
	return nil
}

// checkEnd is called once the response has ended.
func (r *response) checkEnd() error {
	if r.length != parser.LengthUnstated && r.received != r.length {
		return fmt.Errorf("body of %d bytes, not the %d stated", r.received, r.length)
	}
	return nil
}
