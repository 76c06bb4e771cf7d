// Package caller generates open-loop load in place of real callers and verifies every answer.
package caller

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cespare/xxhash/v2"

	"github.com/tamarackpitch/tamarackpitch/internal/standin/upstream"
)

// Target is a kind of request that a Caller sends.
type Target struct {
	Method string
	// Path is the request's path and query, for example /status/1?size=1024.
	Path string
	// Size is the expected length of the answer's body, in bytes.
	Size int
	// BodySize is the length of the request's body, in bytes.
	BodySize int
	// Keyed sends the call's ID as the idempotency key.
	Keyed bool
	// Weight is the share of calls with this target, relative to the weights of the others.
	Weight float64
}

// Config holds the settings of a Caller.
type Config struct {
	// Entries are the addresses, IP:port, that calls are sent to; each call picks one at random.
	Entries []string
	Targets []Target
	// Rate is the mean number of calls started per second, however long their answers take.
	Rate float64
	// Timeout bounds a call up to the end of its answer.
	Timeout time.Duration
	// Seed determines the gaps between calls and the choice of targets and entries.
	Seed uint64
	// Prefix makes the call IDs unique among Callers.
	Prefix string
	// MaxOutstanding bounds the calls in flight; 0 means 2000. Calls beyond it are not sent and are recorded
	// as NotRun with the reason caller-full.
	MaxOutstanding int
}

// Record is the result of one call as its caller saw it.
type Record struct {
	// Call is the ID of the call.
	Call    string
	Method  string
	Outcome Outcome
	// Refusal is the reason of a refusal, or the error of a call without a complete answer.
	Refusal string
	// Version and Upstream identify the upstream that answered.
	Version  string
	Upstream string
	Path     string
	// Latency is the time from At to the end of the answer.
	Latency time.Duration
	// At is when the call started.
	At time.Time
}

// Caller sends calls and records their results. All methods but Run are safe for concurrent use.
type Caller struct {
	config Config
	client *http.Client
	random *rand.Rand

	// mu guards records, latency, keep and observers.
	mu      sync.Mutex
	records []Record
	// latency holds the calls with outcome OK, in microseconds.
	latency   *hdrhistogram.Histogram
	keep      bool
	observers []func(Record)
	calls     sync.WaitGroup
	// outstanding holds an element for each call in flight.
	outstanding chan struct{}
	// lastID is the number in the ID of the last call.
	lastID int
}

// maxLatencyMicros is the highest latency of the histogram, which leaves out longer ones.
const maxLatencyMicros = 120_000_000

// New returns a Caller, which keeps every record in memory.
func New(c Config) *Caller {
	if c.MaxOutstanding == 0 {
		c.MaxOutstanding = 2000
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 256, MaxIdleConns: 4096, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: 2 * time.Second}).DialContext, IdleConnTimeout: 30 * time.Second}
	return &Caller{config: c, client: &http.Client{Transport: transport, Timeout: c.Timeout}, keep: true,
		random: rand.New(rand.NewPCG(c.Seed, 7)), latency: hdrhistogram.New(1, maxLatencyMicros, 3),
		outstanding: make(chan struct{}, c.MaxOutstanding)}
}

// Run starts calls at the configured rate until the context ends, then waits for those in flight.
func (c *Caller) Run(ctx context.Context) {
	meanInterval := time.Duration(float64(time.Second) / c.config.Rate)
	due := time.Now()
	for ctx.Err() == nil {
		// Exponentially distributed gaps make the calls a Poisson process.
		due = due.Add(time.Duration(c.random.ExpFloat64() * float64(meanInterval)))
		if wait := time.Until(due); wait > 0 {
			select {
			case <-ctx.Done():
			case <-time.After(wait):
			}
		}
		if ctx.Err() != nil {
			break
		}
		c.startCall()
	}
	c.calls.Wait()
	c.client.CloseIdleConnections()
}

// startCall starts the next call, unless too many are in flight.
func (c *Caller) startCall() {
	c.lastID++
	call := fmt.Sprintf("%s-%d", c.config.Prefix, c.lastID)
	t := c.pickTarget()
	entry := c.config.Entries[c.random.IntN(len(c.config.Entries))]
	select {
	case c.outstanding <- struct{}{}:
	default:
		c.addRecord(Record{Call: call, Method: t.Method, Path: t.Path, Outcome: NotRun, Refusal: "caller-full", At: time.Now()})
		return
	}
	c.calls.Add(1)
	go (&pendingCall{caller: c, call: call, target: t, entry: entry}).run()
}

// pickTarget picks a target at random by weight.
func (c *Caller) pickTarget() Target {
	var total float64
	for _, t := range c.config.Targets {
		total += t.Weight
	}
	point := c.random.Float64() * total
	for _, t := range c.config.Targets {
		if point -= t.Weight; point < 0 {
			return t
		}
	}
	return c.config.Targets[len(c.config.Targets)-1]
}

// pendingCall is a call that Run has started.
type pendingCall struct {
	caller *Caller
	call   string
	target Target
	entry  string
}

func (p *pendingCall) run() {
	defer p.caller.calls.Done()
	r := p.caller.Call(p.call, p.target, p.entry)
	<-p.caller.outstanding
	p.caller.addRecord(r)
}

// Call sends the request of the call with the given ID to an entry and verifies the answer. It adds no record.
func (c *Caller) Call(call string, t Target, entry string) Record {
	started := time.Now()
	r := Record{Call: call, Method: t.Method, Path: t.Path, At: started, Outcome: Lost}
	body := bytes.Repeat([]byte{'x'}, t.BodySize)
	request, err := http.NewRequest(t.Method, "http://"+entry+t.Path, bytes.NewReader(body))
	if err != nil {
		return r
	}
	request.Header.Set(upstream.HeaderCall, call)
	if t.Keyed {
		request.Header.Set("Idempotency-Key", call)
	}
	if t.Method != http.MethodGet {
		// The transport may resend a request with an idempotency key by itself, but not without GetBody.
		request.GetBody = nil
	}
	response, err := c.client.Do(request)
	if err != nil {
		r.Refusal = err.Error()
		r.Latency = time.Since(started)
		if errors.Is(err, syscall.ECONNREFUSED) {
			r.Outcome = NotSent
		}
		return r
	}
	defer func() { _ = response.Body.Close() }()
	hash := xxhash.New()
	size, err := io.Copy(hash, response.Body)
	r.Latency = time.Since(started)
	if err != nil {
		r.Refusal = err.Error()
		return r
	}
	r.Version = response.Header.Get(upstream.HeaderVersion)
	r.Upstream = response.Header.Get(upstream.HeaderUpstream)
	r.Refusal = response.Header.Get("Tamarackpitch-Refusal")
	r.Outcome = classify(response, call, t, int(size), hash.Sum64(), body)
	return r
}

// classify returns the outcome of a call with a complete answer: size and hash are those of the answer's body,
// body is the request's.
func classify(response *http.Response, call string, t Target, size int, hash uint64, body []byte) Outcome {
	switch response.Header.Get("Tamarackpitch-Run") {
	case "no":
		return NotRun
	case "unknown":
		return Unknown
	}
	if response.Header.Get(upstream.HeaderCall) != call {
		return Wrong
	}
	if response.StatusCode >= http.StatusInternalServerError {
		return Failed
	}
	received := strconv.FormatUint(xxhash.Sum64(body), 16)
	if size != t.Size || hash != upstream.BodyHash(call, t.Size) || response.Header.Get(upstream.HeaderReceivedHash) != received {
		return Wrong
	}
	return OK
}

// addRecord keeps a record and passes it to the observers.
func (c *Caller) addRecord(r Record) {
	c.mu.Lock()
	if c.keep {
		c.records = append(c.records, r)
	}
	if r.Outcome == OK {
		_ = c.latency.RecordValue(r.Latency.Microseconds())
	}
	observers := c.observers
	c.mu.Unlock()
	for _, o := range observers {
		o(r)
	}
}

// Observe has f called with every record from now on, on the goroutine that adds the record.
func (c *Caller) Observe(f func(Record)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observers = append(c.observers, f)
}

// Records returns a copy of the records so far.
func (c *Caller) Records() []Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Record(nil), c.records...)
}

// Percentile returns the latency at a percentile, 0 to 100, of the calls with outcome OK.
func (c *Caller) Percentile(q float64) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.latency.ValueAtQuantile(q)) * time.Microsecond
}

// Count returns the number of records with an outcome.
func (c *Caller) Count(o Outcome) int {
	n := 0
	for _, r := range c.Records() {
		if r.Outcome == o {
			n++
		}
	}
	return n
}
