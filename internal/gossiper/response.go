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
	// grpcHTTPStatus is the only status with which a response of gRPC may begin, apart from interim responses.
	grpcHTTPStatus = http.StatusOK
)

// response is what has been received of a response on one stream (RFC 9113, section 8.1). The zero value expects a head.
type response struct {
	// headRead is set after a head that is not that of an interim response.
	headRead bool
}

// addFields takes the head of an interim response, a head, or trailers. The framer has checked names and values.
func (r *response) addFields(f *http2.MetaHeadersFrame) error {
	if r.headRead {
		return r.addTrailers(f)
	}
	pseudo := f.PseudoFields()
	if len(pseudo) != 1 || pseudo[0].Name != statusField {
		return errors.New("not one status")
	}
	status, ok := parser.ParseStatus(pseudo[0].Value)
	switch {
	case !ok:
		return fmt.Errorf("status %q", pseudo[0].Value)
	case status < http.StatusOK && f.StreamEnded():
		return errors.New("interim response at the end")
	case status < http.StatusOK:
		return nil
	case status != grpcHTTPStatus:
		return errors.New("status " + strconv.Itoa(status))
	}
	r.headRead = true
	return nil
}

// addTrailers takes the trailers.
func (r *response) addTrailers(f *http2.MetaHeadersFrame) error {
	if len(f.PseudoFields()) > 0 || !f.StreamEnded() {
		return errors.New("second head")
	}
	return nil
}

// addData takes a part of the body of n bytes.
func (r *response) addData(n int) error {
	if !r.headRead {
		return errors.New("data after an interim response")
	}
	return nil
}

// checkEnd is called once the response has ended.
func (r *response) checkEnd() error { return nil }
