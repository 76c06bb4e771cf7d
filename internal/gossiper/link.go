package gossiper

import (
	"context"
	"sync"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// sendQueueFrames is the number of frames that may wait for a slow neighbour.
const sendQueueFrames = 512

// stream is the common part of the gRPC client and server streams.
type stream interface {
	Send(*schema.Frame) error
	Recv() (*schema.Frame, error)
}

// Link is a stream of frames from and to one neighbour. Its exported fields do not change after LinkOpened, and its
// methods are safe for concurrent use.
type Link struct {
	// Hello is the neighbour's hello, the first frame that it sent.
	Hello *schema.Hello
	// Outgoing is true if this node opened the link.
	Outgoing bool
	// Address is the dialled address of an outgoing link, else empty.
	Address string

	gossiper  *Gossiper
	stream    stream
	cancel    context.CancelFunc
	queue     chan *schema.Frame
	done      chan struct{}
	closeOnce sync.Once
}

// Send queues a frame without blocking; the frame must not be changed afterwards. If the queue is full, the link is
// closed: anti-entropy brings the slow neighbour what it missed over its next link.
func (l *Link) Send(f *schema.Frame) {
	select {
	case l.queue <- f:
	default:
		l.Close()
	}
}

// Close ends the link. Frames that are still queued may be lost. It may be called more than once.
func (l *Link) Close() {
	l.closeOnce.Do(func() {
		close(l.done)
		l.cancel()
	})
}

// Done is closed when the link ends.
func (l *Link) Done() <-chan struct{} { return l.done }

// loop sends queued frames until the link ends.
func (l *Link) loop() {
	for {
		select {
		case <-l.done:
			return
		case f := <-l.queue:
			if err := l.stream.Send(f); err != nil {
				l.Close()
				return
			}
		}
	}
}

// receive emits the received frames until the link ends, and then LinkClosed.
func (l *Link) receive() {
	for {
		f, err := l.stream.Recv()
		if err != nil {
			break
		}
		l.gossiper.observeStamp(f.GetStamp())
		if !l.gossiper.emit(Event{Kind: FrameReceived, Link: l, Frame: f}) {
			break
		}
	}
	l.Close()
	l.gossiper.emit(Event{Kind: LinkClosed, Link: l})
}
