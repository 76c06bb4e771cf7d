package gossiper

import (
	"context"
	"sync"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// sendQueueFrames bounds the frames that wait for a slow neighbour.
const sendQueueFrames = 512

// stream is what the two sides of the grpc stream share.
type stream interface {
	Send(*schema.Frame) error
	Recv() (*schema.Frame, error)
}

// Link is a stream of frames to one neighbour.
type Link struct {
	// Hello is what the neighbour said first. It does not change.
	Hello *schema.Hello
	// Outgoing tells whether this node opened the link.
	Outgoing bool
	// Address is the dialled address of an outgoing link.
	Address string

	gossiper  *Gossiper
	stream    stream
	cancel    context.CancelFunc
	queue     chan *schema.Frame
	done      chan struct{}
	closeOnce sync.Once
}

// Send queues a frame, which must not change any more. A neighbour that does not keep up
// loses the link; anti-entropy repairs what it missed over the next one.
func (l *Link) Send(f *schema.Frame) {
	select {
	case l.queue <- f:
	default:
		l.Close()
	}
}

// Close ends the link.
func (l *Link) Close() {
	l.closeOnce.Do(func() {
		close(l.done)
		l.cancel()
	})
}

// Done is closed when the link ends.
func (l *Link) Done() <-chan struct{} { return l.done }

// loop writes queued frames.
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

// receive reads frames until the link ends.
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
