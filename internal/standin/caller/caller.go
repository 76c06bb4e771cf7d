// Package caller stands in for callers: open-loop load that checks every answer.
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

// Target is one kind of request.
type Target struct {
	Method string
	// Path may carry a query such as size=1024.
	Path string
	// Size is the length of the expected body, in bytes.
	Size int
	// BodySize is the length of the request's body, in bytes.
	BodySize int
	// Keyed sends an idempotency key.
	Keyed bool
	// Weight is the share of this target among all.
	Weight float64
}

// Config builds a Caller.
type Config struct {
	// Entries are the nodes' addresses for callers; each call picks one.
	Entries []string
	Targets []Target
	// Rate is the calls a second, whatever their answers.
	Rate float64
	// Timeout is the time after which the caller gives up.
	Timeout time.Duration
	Seed    uint64
	// Prefix makes the call names unique among callers.
	Prefix string
	// MaxOutstanding bounds the calls under way; calls beyond it are counted as lost.
	MaxOutstanding int
}

// Record is what the caller saw of one call.
type Record struct {
	Call    string
	Method  string
	Outcome Outcome
	// Refusal is the reason of a refusal.
	Refusal string
	Version string
	Node    string
	Path    string
	Latency time.Duration
	At      time.Time
}

// Caller sends load.
type Caller struct {
	config Config
	client *http.Client
	random *rand.Rand

	mu        sync.Mutex
	records   []Record
	latency   *hdrhistogram.Histogram
	keep      bool
	observers []func(Record)
	group     sync.WaitGroup
	slots     chan struct{}
	next      int
}

// maxLatencyMicros is the highest latency of the histogram, in microseconds.
const maxLatencyMicros = 120_000_000

// New returns a Caller that keeps every record.
func New(c Config) *Caller {
	if c.MaxOutstanding == 0 {
		c.MaxOutstanding = 2000
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 256, MaxIdleConns: 4096, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: 2 * time.Second}).DialContext, IdleConnTimeout: 30 * time.Second}
	return &Caller{config: c, client: &http.Client{Transport: transport, Timeout: c.Timeout}, keep: true,
		random: rand.New(rand.NewPCG(c.Seed, 7)), latency: hdrhistogram.New(1, maxLatencyMicros, 3),
		slots: make(chan struct{}, c.MaxOutstanding)}
}

// Run sends load until the context ends, and waits for the calls under way.
func (c *Caller) Run(ctx context.Context) {
	interval := time.Duration(float64(time.Second) / c.config.Rate)
	due := time.Now()
	for ctx.Err() == nil {
		// Exponential gaps make the load a Poisson process.
		due = due.Add(time.Duration(c.random.ExpFloat64() * float64(interval)))
		if wait := time.Until(due); wait > 0 {
			select {
			case <-ctx.Done():
			case <-time.After(wait):
			}
		}
		if ctx.Err() != nil {
			break
		}
		c.launch()
	}
	c.group.Wait()
	c.client.CloseIdleConnections()
}

func (c *Caller) launch() {
	c.next++
	call := fmt.Sprintf("%s-%d", c.config.Prefix, c.next)
	t := c.pick()
	entry := c.config.Entries[c.random.IntN(len(c.config.Entries))]
	select {
	case c.slots <- struct{}{}:
	default:
		c.add(Record{Call: call, Method: t.Method, Path: t.Path, Outcome: NotRun, Refusal: "caller-full", At: time.Now()})
		return
	}
	c.group.Add(1)
	go (&oneCall{caller: c, call: call, target: t, entry: entry}).run()
}

func (c *Caller) pick() Target {
	var total float64
	for _, t := range c.config.Targets {
		total += t.Weight
	}
	at := c.random.Float64() * total
	for _, t := range c.config.Targets {
		if at -= t.Weight; at < 0 {
			return t
		}
	}
	return c.config.Targets[len(c.config.Targets)-1]
}

// oneCall is one call on a goroutine of its own.
type oneCall struct {
	caller *Caller
	call   string
	target Target
	entry  string
}

func (o *oneCall) run() {
	defer o.caller.group.Done()
	r := o.caller.Call(o.call, o.target, o.entry)
	<-o.caller.slots
	o.caller.add(r)
}

// Call sends one request and checks the answer.
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
		// The transport may send an idempotent request again by itself.
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
	r.Node = response.Header.Get(upstream.HeaderNode)
	r.Refusal = response.Header.Get("Tamarackpitch-Refusal")
	r.Outcome = classify(response, call, t, int(size), hash.Sum64(), body)
	return r
}

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
	if size != t.Size || hash != upstream.BodyHash(call, t.Size) || response.Header.Get(upstream.HeaderReceived) != received {
		return Wrong
	}
	return OK
}

func (c *Caller) add(r Record) {
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

// Observe calls a function with every record from now on.
func (c *Caller) Observe(f func(Record)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observers = append(c.observers, f)
}

// Records returns what was seen so far.
func (c *Caller) Records() []Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Record(nil), c.records...)
}

// Quantile returns a latency of the successful calls.
func (c *Caller) Quantile(q float64) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.latency.ValueAtQuantile(q)) * time.Microsecond
}

// Count returns the records with an outcome.
func (c *Caller) Count(o Outcome) int {
	n := 0
	for _, r := range c.Records() {
		if r.Outcome == o {
			n++
		}
	}
	return n
}
