package forwarder

import (
	"errors"
	"net"
	"time"

	"github.com/lesismal/nbio"
)

// acceptPause follows a failed accept, as when no descriptor is left.
const acceptPause = 50 * time.Millisecond

// acceptor takes new connections from one listener until it is closed.
type acceptor struct {
	forwarder *Forwarder
	listener  net.Listener
	// fromPeers tells that the connections come from other nodes.
	fromPeers bool
	done      chan struct{}
}

func (a *acceptor) run() {
	defer close(a.done)
	for {
		c, err := a.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			err = a.forwarder.poller.Add(c, a.opened)
		}
		if err != nil {
			a.logFailure(err)
			time.Sleep(acceptPause)
		}
	}
}

// opened is called by the poller once it runs a connection.
func (a *acceptor) opened(c *nbio.Conn, err error) {
	if err != nil {
		a.logFailure(err)
		return
	}
	f := a.forwarder
	f.mu.Lock()
	defer f.mu.Unlock()
	s := &serverConn{forwarder: f, fromPeer: a.fromPeers, openedAt: time.Now()}
	s.conn = newConn(f, c, s, false)
	f.callers[s] = struct{}{}
}

func (a *acceptor) logFailure(err error) {
	a.forwarder.common.Logger.Warn("connection not accepted", "address", a.listener.Addr(), "reason", err)
}
