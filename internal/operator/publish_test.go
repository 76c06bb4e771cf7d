package operator_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/tamarackpitch/tamarackpitch/internal/logclient"
	"github.com/tamarackpitch/tamarackpitch/internal/operator"
	"github.com/tamarackpitch/tamarackpitch/internal/requester"
	"github.com/tamarackpitch/tamarackpitch/internal/standin/logserver"
	"github.com/tamarackpitch/tamarackpitch/pkg/reducer"
)

// commandTimeout bounds a command. It is far longer than a command takes.
const commandTimeout = 30 * time.Second

// fault is what happens to one request to a faultyLog.
type fault int

const (
	noFault fault = iota
	// answerLost has the request take effect, but fail.
	answerLost
	// unavailable has the request fail without an effect.
	unavailable
	// refused has an append be refused, without an effect.
	refused
	// beforeNextAppend has an append fail and take effect right before the next append.
	beforeNextAppend
	// afterNextAppend has an append fail and take effect right after the next append.
	afterNextAppend
)

// faultyLog is a log service with faults for chosen requests.
type faultyLog struct {
	server *logserver.Server

	// mu is held while a request runs, and guards the fields below it.
	mu sync.Mutex
	// appendFaults and readFaults are the faults of the next requests, in their order. Later requests have none.
	appendFaults, readFaults []fault
	// before and after hold appends that are still to take effect, relative to the next append.
	before, after []func()
}

// ServeHTTP implements http.Handler.
func (l *faultyLog) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	response := httptest.NewRecorder()
	serve := func(w http.ResponseWriter) {
		repeated := r.Clone(context.Background())
		repeated.Body = io.NopCloser(strings.NewReader(string(body)))
		l.server.ServeHTTP(w, repeated)
	}
	late := func() { serve(httptest.NewRecorder()) }
	f := l.takeFault(r.Method)
	if r.Method == http.MethodPost {
		runAll(&l.before)
	}
	switch f {
	case noFault:
		serve(response)
	case answerLost:
		late()
		response.Code = http.StatusInternalServerError
	case refused:
		response.Code = http.StatusTooManyRequests
	default:
		response.Code = http.StatusServiceUnavailable
	}
	if r.Method == http.MethodPost {
		runAll(&l.after)
	}
	switch f {
	case beforeNextAppend:
		l.before = append(l.before, late)
	case afterNextAppend:
		l.after = append(l.after, late)
	}
	w.WriteHeader(response.Code)
	_, _ = w.Write(response.Body.Bytes())
}

// takeFault returns the fault of a request.
func (l *faultyLog) takeFault(method string) fault {
	faults := &l.readFaults
	if method == http.MethodPost {
		faults = &l.appendFaults
	}
	if len(*faults) == 0 {
		return noFault
	}
	f := (*faults)[0]
	*faults = (*faults)[1:]
	return f
}

// runAll runs and removes functions.
func runAll(functions *[]func()) {
	for _, f := range *functions {
		f()
	}
	*functions = nil
}

// serveInitialState is the admin interface of a node that has applied no record.
func serveInitialState(w http.ResponseWriter, _ *http.Request) {
	body, err := proto.Marshal(reducer.NewState().Encode())
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(body)
}

// TestRecordIsAppendedOnce checks that a command whose requests to the log fail in various ways leaves one record in the
// log, so that the next command gets the next version.
func TestRecordIsAppendedOnce(t *testing.T) {
	r := requester.New()
	node := httptest.NewServer(http.HandlerFunc(serveInitialState))
	t.Cleanup(node.Close)

	for name, l := range map[string]*faultyLog{
		"no fault":                        {},
		"not appended":                    {appendFaults: []fault{unavailable}},
		"refused and read failed":         {appendFaults: []fault{refused}, readFaults: []fault{unavailable}},
		"answer lost":                     {appendFaults: []fault{answerLost}},
		"answer lost and read failed":     {appendFaults: []fault{answerLost}, readFaults: []fault{unavailable, unavailable}},
		"answered and read failed":        {readFaults: []fault{unavailable, unavailable}},
		"in effect right before the next": {appendFaults: []fault{beforeNextAppend}},
		"in effect right after the next":  {appendFaults: []fault{afterNextAppend}},
	} {
		t.Run(name, func(t *testing.T) {
			var err error
			l.server, err = logserver.New("")
			qt.Assert(t, err, qt.IsNil)
			listener := httptest.NewServer(l)
			defer listener.Close()
			ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
			defer cancel()
			o := operator.New(operator.Config{Nodes: []string{node.Listener.Addr().String()}, LogURL: listener.URL, Requester: r})
			for version := uint64(1); version <= 2; version++ {
				result, err := o.Drain(ctx, "n", true)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, result.Version, qt.Equals, version)
			}
			log := logclient.New(logclient.Config{URL: listener.URL, Requester: r, Timeout: commandTimeout})
			_, next, err := log.Bounds(ctx, logclient.ConfigStream)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, next, qt.Equals, uint64(2))
		})
	}
}
