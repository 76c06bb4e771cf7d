package returner

import (
	"errors"
	"net"
	"net/http"

	"github.com/hashicorp/go-hclog"
)

// storeServer serves the store until close.
type storeServer struct {
	server   *http.Server
	listener net.Listener
	logger   hclog.Logger
	done     chan struct{}
}

// newStoreServer starts serving a handler on a listener.
func newStoreServer(l net.Listener, handler http.Handler, logger hclog.Logger) *storeServer {
	s := &storeServer{server: &http.Server{Handler: handler, ReadHeaderTimeout: storeTimeout}, listener: l, logger: logger,
		done: make(chan struct{})}
	go s.run()
	return s
}

// url returns the base URL of the server.
func (s *storeServer) url() string { return "http://" + s.listener.Addr().String() }

func (s *storeServer) run() {
	defer close(s.done)
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		s.logger.Error("store stopped", "reason", err)
	}
}

// close ends the server and waits for its goroutine.
func (s *storeServer) close() {
	if err := s.server.Close(); err != nil {
		s.logger.Warn("could not close the store", "reason", err)
	}
	<-s.done
}
