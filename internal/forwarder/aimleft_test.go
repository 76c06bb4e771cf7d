package forwarder

import (
	"bytes"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/tamarackpitch/tamarackpitch/internal/admitter"
	"github.com/tamarackpitch/tamarackpitch/internal/balancer"
	"github.com/tamarackpitch/tamarackpitch/internal/router"
	"github.com/tamarackpitch/tamarackpitch/internal/throttler"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// TestLateCallsAreToldAsLate sends calls before and after their latency targets to another node. One that is late must be
// late there too: without a target it would queue for the link until its deadline, before calls in time.
func TestLateCallsAreToldAsLate(t *testing.T) {
	tests := []struct {
		name   string
		target time.Duration
		field  string
	}{
		{"in time", time.Minute, "Tamarackpitch-Aim-Left: 5"},
		{"late", -time.Second, "Tamarackpitch-Aim-Left: 0\r\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x := &exchange{forwarder: &Forwarder{}, route: &schema.Route{Name: "r"}, targetAt: time.Now().Add(test.target)}
			a := &attempt{exchange: x, operation: operationCall, endpoint: &balancer.Endpoint{Node: "n"}}
			var b bytes.Buffer
			a.writePeerFields(&b)
			qt.Assert(t, strings.Contains(b.String(), test.field), qt.IsTrue, qt.Commentf("%s", b.String()))
		})
	}
	now := time.Now()
	l := admitter.Link{BytesPerSecond: 1e6}
	l.RecordSent(1e6, now)
	late := admitter.Request{MayQueue: true, Target: now, Deadline: now.Add(4 * time.Second)}
	qt.Assert(t, l.Admits(late, 9e4, 0, now), qt.IsFalse)
}

// TestTimeUsed lets a route's callers begin with three seconds. One that comes back with less has used up the difference;
// before the limits are known, the route's timeout stands for them.
func TestTimeUsed(t *testing.T) {
	f := &Forwarder{config: Config{Dialect: OwnDialect()}, patience: map[string]*throttler.Patience{}}
	now := time.Now()
	snapshot := &router.Snapshot{}
	used := func(left string) (time.Duration, bool) {
		x := &exchange{forwarder: f, snapshot: snapshot, route: &schema.Route{Name: "r", TimeoutMs: 2000}, startedAt: now,
			request: request{message: &message{header: fields(headerTimeLeft, left)}}}
		x.deadline = x.callerDeadline()
		return x.timeUsed()
	}
	check := func(left string, want time.Duration, wantKnown bool) {
		t.Helper()
		got, known := used(left)
		qt.Assert(t, got, qt.Equals, want)
		qt.Assert(t, known, qt.Equals, wantKnown)
	}
	check("1500", 500*time.Millisecond, false)
	for range 20 {
		_, _ = used("3000")
	}
	check("3000", 0, true)
	check("2400", 600*time.Millisecond, true)
}
