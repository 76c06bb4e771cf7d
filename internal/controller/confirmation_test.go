package controller

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestConfirmation checks which announcements show that their upstream has not left under an earlier process.
func TestConfirmation(t *testing.T) {
	const (
		renewal  = 7
		maxDelay = 5 * time.Second
	)
	start := time.UnixMilli(100_000)
	type step struct {
		at      time.Duration
		started int64
		seq     uint64
		renewal uint32
		want    bool
	}
	tests := []struct {
		name       string
		firstStart bool
		steps      []step
	}{
		{"started before the process", false, []step{{0, 1000, 4, 0, false}}},
		{"first start of the mesh", true, []step{{0, 1000, 4, 0, true}}},
		{"started after the process", false, []step{{2 * time.Second, 101_000, 1, 0, true}}},
		{"renewed", false, []step{{0, 1000, 4, 0, false}, {time.Second, 1000, 5, renewal, true}, {2 * time.Second, 1000, 6, 0, true}}},
		{"renewed without having been asked", false, []step{{0, 1000, 4, renewal, false}}},
		{"renewal of an earlier process", false, []step{{0, 1000, 4, 0, false}, {time.Second, 1000, 5, 3, false}}},
		{"renewal sent before the request", false, []step{{0, 1000, 4, 0, false}, {time.Second, 1000, 3, renewal, false}}},
		{"two late ones", false, []step{{0, 1000, 4, 0, false}, {time.Second, 1000, 5, 0, false}}},
		{"late ones in the wrong order", false, []step{{0, 1000, 5, 0, false}, {6 * time.Second, 1000, 4, 0, false}}},
		{"goes on without a renewal", false, []step{{0, 1000, 4, 0, false}, {maxDelay - 1, 1000, 5, 0, false}, {maxDelay, 1000, 6, 0, true}}},
		{"two late ones, further apart", false, []step{{0, 1000, 4, 0, false}, {maxDelay, 1000, 5, 0, false}, {maxDelay + 1, 1000, 6, 0, false}}},
		{"next incarnation", false, []step{{0, 1000, 4, 0, false}, {time.Second, 2000, 1, 0, false}, {2 * time.Second, 1000, 5, renewal, false},
			{3 * time.Second, 2000, 2, renewal, true}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := confirmation{firstStart: test.firstStart, startedAt: start, renewal: renewal, maxDelay: maxDelay}
			for i, s := range test.steps {
				a := testAnnouncement("i", s.started, s.seq)
				a.Renewal = s.renewal
				qt.Assert(t, c.confirms(a, start.Add(s.at)), qt.Equals, s.want, qt.Commentf("step %d", i))
			}
		})
	}
}

// TestClockSetSinceStartOfProcess compares the start of an upstream with that of the process, whose clock may have been set since.
func TestClockSetSinceStartOfProcess(t *testing.T) {
	const uptime = 10 * time.Second
	start := time.UnixMilli(100_000)
	tests := []struct {
		name    string
		started time.Duration
		clock   time.Duration
		want    bool
	}{
		{"later", time.Second, 0, true},
		{"earlier", -time.Second, 0, false},
		{"at once", 0, 0, false},
		{"clock was behind at the start, earlier", time.Second, 2 * time.Second, false},
		{"clock was behind at the start, later", 3 * time.Second, 2 * time.Second, true},
		{"clock was ahead at the start", -time.Second, -2 * time.Second, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := startedLater(start.Add(test.started).UnixMilli(), start, start.Add(uptime+test.clock), uptime)
			qt.Assert(t, got, qt.Equals, test.want)
		})
	}
}
