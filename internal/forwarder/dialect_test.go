package forwarder

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/tamarackpitch/tamarackpitch/internal/parser"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

var testDialect = Dialect{RequestID: "X-Id", TimeLeft: "X-Time-Left", NotExecuted: "X-Not-Run", ExpectInstance: "X-Instance", Seal: "X-Seal"}

// fields returns header fields from names and values in turn.
func fields(namesAndValues ...string) []parser.Field {
	var all []parser.Field
	for pair := range slices.Chunk(namesAndValues, 2) {
		all = append(all, parser.Field{Key: pair[0], Value: pair[1]})
	}
	return all
}

func TestClassify(t *testing.T) {
	tests := []struct {
		name   string
		status int
		header []parser.Field
		want   responseClass
	}{
		{"sealed success", 200, fields("X-Id", "a", "X-Seal", "s"), responseValid},
		{"success without a seal", 200, fields("X-Id", "a"), responseInvalid},
		{"success with an encoding", 200, fields("X-Id", "a", "X-Seal", "s", "Content-Encoding", "gzip"), responseInvalid},
		{"success without an id", 200, fields("X-Seal", "s"), responseInvalid},
		{"late response to another request", 200, fields("X-Id", "b", "X-Seal", "s"), responseStale},
		{"two ids", 200, fields("X-Id", "a", "X-Id", "a", "X-Seal", "s"), responseInvalid},
		{"two seals", 500, fields("X-Id", "a", "X-Seal", "s", "X-Seal", "t"), responseInvalid},
		{"refusal with a part of a status line", 503, fields("X-Not-Run", "HTTP/1.2 200 OK", "X-Id", "a"), responseInvalid},
		{"failure of the upstream", 500, fields("X-Id", "a", "X-Seal", "s"), responseValid},
		{"refusal marked as not executed", 503, fields("X-Id", "a", "X-Not-Run", "1"), responseNotExecuted},
		{"refusal by another incarnation", 421, fields("X-Id", "a"), responseNotExecuted},
		{"refusal without an id", 503, fields("X-Not-Run", "1"), responseInvalid},
		{"refusal by another incarnation without an id", 421, nil, responseInvalid},
		{"refusal of another request", 503, fields("X-Id", "b", "X-Not-Run", "1"), responseStale},
		{"503 without the not-executed mark", 503, fields("X-Id", "a"), responseInvalid},
		{"429 without the not-executed mark", 429, fields("X-Id", "a"), responseInvalid},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := testDialect.classify(&message{status: test.status, header: test.header}, "a")
			qt.Assert(t, got, qt.Equals, test.want)
		})
	}
}

// TestClassifyIDOfTheCaller echoes an ID that names the protocol: callers choose their IDs.
func TestClassifyIDOfTheCaller(t *testing.T) {
	const id = "client-http/1.1-7"
	got := testDialect.classify(&message{status: 200, header: fields("X-Id", id, "X-Seal", "s")}, id)
	qt.Assert(t, got, qt.Equals, responseValid)
}

// TestWeightsWithFewCalls splits 60 calls by weight: no part may be off by more than two calls.
func TestWeightsWithFewCalls(t *testing.T) {
	for seed := range uint64(50) {
		f := &Forwarder{samplers: map[string]*sampler{}, random: rand.New(rand.NewPCG(seed, 1))}
		r := &schema.Route{Name: "r", Parts: []*schema.Part{{Service: "a", Weight: 70}, {Service: "b", Weight: 30}, {Service: "c"}}}
		counts := map[string]int{}
		const calls = 60
		for range calls {
			counts[f.chooseService(r)]++
		}
		qt.Assert(t, counts["c"], qt.Equals, 0)
		qt.Assert(t, counts["a"] >= 40 && counts["a"] <= 44, qt.IsTrue, qt.Commentf("seed %d: %v", seed, counts))
	}
}

// TestTransitDelayIsDetected receives calls with ordinary transit delays and one that an interrupted link has delayed.
func TestTransitDelayIsDetected(t *testing.T) {
	estimator := transitEstimator{fastest: map[string]time.Duration{}}
	sent := func(at time.Duration) *message {
		return &message{header: fields(headerSender, "n", headerSentAt, strconv.FormatInt(at.Milliseconds(), 10))}
	}
	receive := func(sentAt, delay time.Duration) time.Duration {
		return estimator.excessDelay(sent(sentAt), processStart.Add(time.Hour+sentAt+delay))
	}
	qt.Assert(t, receive(0, 2*time.Millisecond), qt.Equals, time.Duration(0))
	qt.Assert(t, receive(time.Second, 20*time.Millisecond), qt.Equals, time.Duration(0))
	qt.Assert(t, receive(2*time.Second, 3002*time.Millisecond), qt.Equals, 3*time.Second)
	qt.Assert(t, receive(9*time.Second, time.Millisecond), qt.Equals, time.Duration(0))
}
