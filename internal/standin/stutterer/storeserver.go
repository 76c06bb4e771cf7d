package stutterer

import (
	"net"
	"net/http"
)

// storeServer serves the store.
type storeServer struct {
	listener net.Listener
	server   *http.Server
	done     chan struct{}
}

func startStore(handler http.Handler) (*storeServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &storeServer{listener: l, server: &http.Server{Handler: handler}, done: make(chan struct{})}
	go s.run()
	return s, nil
}

func (s *storeServer) run() {
	defer close(s.done)
	_ = s.server.Serve(s.listener)
}

func (s *storeServer) address() string { return s.listener.Addr().String() }

// end closes the listener and all connections.
func (s *storeServer) end() {
	_ = s.server.Close()
	<-s.done
}
