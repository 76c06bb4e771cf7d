package requester_test

import (
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/tamarackpitch/tamarackpitch/internal/requester"
)

// TestAddressInUseIsAnError guards against a node that neither starts nor ends, without a log line, since one of its addresses is in use. The
// other address is free again after that.
func TestAddressInUseIsAnError(t *testing.T) {
	used, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = used.Close() })
	other, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	free := other.Addr().String()
	qt.Assert(t, other.Close(), qt.IsNil)
	result := make(chan error, 1)
	go func() {
		_, err := requester.NewEngine(http.NotFoundHandler(), free, used.Addr().String())
		result <- err
	}()
	select {
	case err = <-result:
	case <-time.After(requestTimeout):
		t.Fatal("NewEngine does not return")
	}
	var e *requester.Error
	qt.Assert(t, errors.As(err, &e), qt.IsTrue)
	qt.Assert(t, e.Operation, qt.Equals, "listen "+used.Addr().String())
	again, err := net.Listen("tcp", free)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, again.Close(), qt.IsNil)
}
