package scenarios_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// stopClient calls one node, on kept or on new connections, until stop is closed.
type stopClient struct {
	entry, address string
	kept           bool
	random         *rand.Rand
	prefix         string
	count          int
	connection     *stopConnection
}

func (c *stopClient) run(stop <-chan struct{}, record func(stopCall)) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		record(c.next())
		time.Sleep(time.Duration(c.random.Float64() * float64(maxPause)))
	}
}

func (c *stopClient) next() stopCall {
	c.count++
	id := fmt.Sprintf("%s-%d", c.prefix, c.count)
	method := []string{http.MethodGet, http.MethodPost}[c.random.IntN(2)]
	service := []string{serviceDesk, serviceDesk, serviceLedger}[c.random.IntN(3)]
	length := []string{"short", "long"}[c.random.IntN(2)]
	ms := minWorkMs + c.random.IntN(maxWorkMs-minWorkMs)
	if length == "short" {
		ms = min(ms, maxShortWorkMs)
	}
	path := fmt.Sprintf("/%s/%s?ms=%d&id=%s", service, length, ms, id)
	if c.random.IntN(4) == 0 {
		path += "&child=1"
	}
	pause := time.Duration(0)
	if c.random.IntN(4) == 0 {
		pause = time.Duration(c.random.Float64() * float64(maxGap))
	}
	return c.send(method, path, id, pause)
}

// send sends a call on the kept connection or a new one.
func (c *stopClient) send(method, path, id string, pause time.Duration) stopCall {
	if c.connection == nil {
		var err error
		if c.connection, err = openStopConnection(c.address); err != nil {
			time.Sleep(50 * time.Millisecond)
			return stopCall{id: id, entry: c.entry, path: path, refused: true, err: err, sentAt: time.Now(), endedAt: time.Now()}
		}
	}
	r := c.connection.request(method, path, longTimeoutMs, pause)
	r.id, r.entry, r.kept = id, c.entry, c.kept
	if r.err != nil || r.closes || !c.kept {
		_ = c.connection.Close()
		c.connection = nil
	}
	return r
}
