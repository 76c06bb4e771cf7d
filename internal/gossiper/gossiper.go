// Package gossiper maintains the links of the overlay: long-lived gRPC streams between nodes.
//
// It transports frames without interpreting them, apart from the hello and the sender's time. The control goroutine
// decides which links to open and close, and handles the frames.
package gossiper

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/tamarackpitch/tamarackpitch/internal/recorder"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// Protocol is the version of the overlay protocol. Both ends of a link must have the same one.
const Protocol = 1

const (
	// helloTimeout bounds connecting and the exchange of hellos on an outgoing link.
	helloTimeout    = 3 * time.Second
	reportTimeout   = 500 * time.Millisecond
	maxMessageBytes = 32 << 20
	ioBufferBytes   = 4 << 10
	// unbuffered is the size, in bytes, of the buffer that gRPC adds for reading a checkedConn, which has its own.
	unbuffered = 0
	// windowBytes is the fixed flow-control window. With a dynamic window, gRPC sends a ping with every few frames.
	windowBytes    = 1 << 20
	eventQueueSize = 1024
	// maxReportConns bounds the connections that are kept open for reports.
	maxReportConns = 64
)

// Config builds a Gossiper.
type Config struct {
	Listen string
	Logger hclog.Logger
	// Clock is advanced past the times of received frames.
	Clock *recorder.Clock
	// Hello returns this node's current hello. It must be safe for concurrent use.
	Hello func() *schema.Hello
	// GrantTokens answers another node's request for tokens. It must be safe for concurrent use.
	GrantTokens func(*schema.TokenRequest) *schema.TokenResponse
}

// Gossiper accepts and opens links, and sends and receives reports. Its methods are safe for concurrent use.
type Gossiper struct {
	schema.UnimplementedOverlayServer
	schema.UnimplementedQuotasServer

	config   Config
	server   *grpc.Server
	listener net.Listener
	events   chan Event
	done     chan struct{}
	meter    *Meter

	mu sync.Mutex
	// reportConns holds the connections for reports and for requests of tokens by address, at most maxReportConns.
	reportConns map[string]*grpc.ClientConn
}

// New starts to listen and to serve. The caller must receive from Events and call Close.
func New(c Config) (*Gossiper, error) {
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return nil, &Error{Operation: "listen", Kind: KindListen, Cause: err}
	}
	g := &Gossiper{config: c, listener: listener, events: make(chan Event, eventQueueSize), done: make(chan struct{}),
		meter: &Meter{}, reportConns: map[string]*grpc.ClientConn{}}
	g.server = grpc.NewServer(grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.InitialWindowSize(windowBytes), grpc.InitialConnWindowSize(windowBytes),
		grpc.ReadBufferSize(ioBufferBytes), grpc.WriteBufferSize(ioBufferBytes))
	schema.RegisterOverlayServer(g.server, g)
	schema.RegisterQuotasServer(g.server, g)
	go g.run()
	return g, nil
}

// run serves incoming links and reports until Close.
func (g *Gossiper) run() {
	_ = g.server.Serve(meteredListener{Listener: g.listener, meter: g.meter})
}

// Events returns the channel of the overlay's events. It is never closed.
func (g *Gossiper) Events() <-chan Event { return g.events }

// Meter returns the byte counters of the overlay.
func (g *Gossiper) Meter() *Meter { return g.meter }

// Close closes the listener, the incoming links and the connections for reports. An outgoing link ends when the
// neighbour closes it or sends further frames.
func (g *Gossiper) Close() {
	close(g.done)
	g.server.Stop()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.reportConns {
		_ = c.Close()
	}
}

// emit queues an event, waiting while the queue is full. It reports false if the event was dropped because of Close.
func (g *Gossiper) emit(e Event) bool {
	select {
	case g.events <- e:
		return true
	case <-g.done:
		return false
	}
}

// observeStamp advances this node's clock past the time of a received frame.
func (g *Gossiper) observeStamp(s *schema.Stamp) {
	if s != nil {
		g.config.Clock.Observe(recorder.Stamp{UnixMs: s.UnixMs, Counter: s.Counter})
	}
}

// Link serves an incoming link until it ends. It implements the rpc Link of the overlay service.
func (g *Gossiper) Link(s grpc.BidiStreamingServer[schema.Frame, schema.Frame]) error {
	first, err := s.Recv()
	if err != nil {
		return err
	}
	if err := checkHello(first.GetHello()); err != nil {
		return err
	}
	if err := s.Send(&schema.Frame{Hello: g.config.Hello()}); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(s.Context())
	l := g.newLink(first.Hello, s, cancel)
	if !g.emit(Event{Kind: LinkOpened, Link: l}) {
		cancel()
		return nil
	}
	go l.loop()
	receiver := &serverReceiver{link: l, done: make(chan struct{})}
	go receiver.run()
	// Returning ends the stream, so wait until either side has closed the link.
	select {
	case <-receiver.done:
	case <-ctx.Done():
	}
	return nil
}

// serverReceiver reads an incoming link on its own goroutine: only the return of the handler ends a blocked read.
type serverReceiver struct {
	link *Link
	done chan struct{}
}

func (r *serverReceiver) run() {
	defer close(r.done)
	r.link.receive()
}

func (g *Gossiper) newLink(hello *schema.Hello, s stream, cancel context.CancelFunc) *Link {
	return &Link{Hello: hello, gossiper: g, stream: s, cancel: cancel,
		queue: make(chan *schema.Frame, sendQueueFrames), done: make(chan struct{})}
}

// checkHello returns an error if a neighbour's first frame has no usable hello or another protocol version.
func checkHello(h *schema.Hello) error {
	switch {
	case h.GetMember().GetNode() == "":
		return &Error{Operation: "hello", Kind: KindProtocol, Cause: errors.New("the hello names no member")}
	case h.Protocol != Protocol:
		return &Error{Operation: "hello", Kind: KindProtocol, Cause: errors.New("the protocol versions differ")}
	}
	return nil
}

// Dial opens a link in the background. The result is a LinkOpened or DialFailed event.
func (g *Gossiper) Dial(address string) {
	d := &dialer{gossiper: g, address: address}
	go d.run()
}

// dialer opens one outgoing link and reads it until it ends.
type dialer struct {
	gossiper *Gossiper
	address  string
}

func (d *dialer) run() {
	conn, err := d.gossiper.connect(d.address)
	if err != nil {
		d.emitDialFailed()
		return
	}
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l, err := d.open(ctx, cancel, conn)
	if err != nil {
		d.emitDialFailed()
		return
	}
	go l.loop()
	l.receive()
}

func (d *dialer) emitDialFailed() {
	d.gossiper.emit(Event{Kind: DialFailed, Address: d.address})
}

// open exchanges hellos and emits LinkOpened.
func (d *dialer) open(ctx context.Context, cancel context.CancelFunc, conn *grpc.ClientConn) (*Link, error) {
	timer := time.AfterFunc(helloTimeout, cancel)
	defer timer.Stop()
	s, err := schema.NewOverlayClient(conn).Link(ctx)
	if err != nil {
		return nil, err
	}
	if err := s.Send(&schema.Frame{Hello: d.gossiper.config.Hello()}); err != nil {
		return nil, err
	}
	first, err := s.Recv()
	if err != nil {
		return nil, err
	}
	if err := checkHello(first.GetHello()); err != nil {
		return nil, err
	}
	l := d.gossiper.newLink(first.Hello, s, cancel)
	l.Outgoing = true
	l.Address = d.address
	if !d.gossiper.emit(Event{Kind: LinkOpened, Link: l}) {
		return nil, context.Canceled
	}
	return l, nil
}

// dialChecked dials a metered connection whose input is checked.
func (g *Gossiper) dialChecked(ctx context.Context, address string) (net.Conn, error) {
	c, err := g.meter.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return newCheckedConn(c, g.config.Logger), nil
}

// connect returns a metered client connection to an address. It does not wait for the connection to be established.
func (g *Gossiper) connect(address string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(g.dialChecked),
		grpc.WithInitialWindowSize(windowBytes), grpc.WithInitialConnWindowSize(windowBytes),
		grpc.WithReadBufferSize(unbuffered), grpc.WithWriteBufferSize(ioBufferBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)))
}
