package stutterer

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/standin/harness"
	"github.com/tamarackpitch/tamarackpitch/platform/standin"
)

// addressesPerVM is the number of addresses of a VM.
const addressesPerVM = 7

// vm is a VM with a node and an upstream.
type vm struct {
	soak    *Soak
	number  int
	zone    string
	service string
	// Addresses of the node and of the upstream.
	outbound, inbound, ready, heartbeat, control, admin, upstreamAddress string

	node     *harness.Process
	upstream *upstream
	// incarnations counts the upstreams and the nodes that were started with new settings.
	incarnations int

	mu sync.Mutex
	// idle holds the upstream's own connections to the node that are not in use.
	idle []*callerConn
}

func newVM(s *Soak, number int, service string, addresses []string) *vm {
	a := addresses[addressesPerVM*number:]
	return &vm{soak: s, number: number, zone: zones[number%len(zones)], service: service, outbound: a[0], inbound: a[1], ready: a[2],
		heartbeat: a[3], control: a[4], admin: a[5], upstreamAddress: a[6]}
}

// startNode starts a node with new settings.
func (v *vm) startNode() error {
	v.incarnations++
	name := fmt.Sprintf("vm-%d-%d", v.number, v.incarnations)
	path := filepath.Join(v.soak.dir, name+".yaml")
	text := fmt.Sprintf("%s\nname: %s\nzone: %s\nregion: r\nlisten: %q\npeer-listen: %q\ncontrol-listen: %q\nadmin-listen: %q\n"+
		"upstream-listen: %q\nready-listen: %q\nlog-url: %q\nservice: %s\nlink-mbps: %d\n", v.soak.settings, name, v.zone, v.outbound,
		v.inbound, v.control, v.admin, v.heartbeat, v.ready, "http://"+v.soak.storeAddress, v.service, links[v.number%len(links)])
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		return err
	}
	var err error
	v.node, err = harness.StartProcess(v.soak.dir, name, v.soak.config.Product, "node", "--settings="+path)
	return err
}

// startUpstream starts an upstream with a new ID.
func (v *vm) startUpstream() error {
	v.incarnations++
	var err error
	v.upstream, err = startUpstream(v, fmt.Sprintf("i-%03d%03d", v.number, v.incarnations))
	return err
}

// isReady reports whether the node answers the platform's readiness check.
func (v *vm) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + v.ready + standin.ReadinessPath)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// callInner makes the calls of a run, through the node of the VM. It reports whether all succeed.
func (v *vm) callInner(r *run, ordinal int, d *drawer, deadline time.Time) bool {
	ok := true
	for k := range 1 + d.random.IntN(maxInner) {
		left := min(time.Until(deadline), minInnerDeadline+d.upTo(maxInnerDeadline-minInnerDeadline))
		if left <= 0 {
			return false
		}
		route := innerRoutes[d.random.IntN(len(innerRoutes))]
		id := fmt.Sprintf("%s.%d%d", r.history.id, ordinal, k)
		ok = v.callOnce(route.request(id, left, d), route) && ok
	}
	return ok
}

// callOnce makes a call over an idle connection or a new one. It reports whether the call succeeds.
func (v *vm) callOnce(q request, t target) bool {
	l := v.soak.ledger
	c, err := v.take()
	if err != nil {
		return false
	}
	h := l.open(q.id, v.service, t.idempotent, "sent by the upstream of VM %d (%s) with %s left", v.number, v.service, q.deadline)
	a := c.call(q)
	c.last = h
	l.close(h, a)
	v.put(c)
	return a.success()
}

// take returns a connection to the node.
func (v *vm) take() (*callerConn, error) {
	v.mu.Lock()
	n := len(v.idle)
	if n == 0 {
		v.mu.Unlock()
		return dial(v.outbound)
	}
	c := v.idle[n-1]
	v.idle = v.idle[:n-1]
	v.mu.Unlock()
	v.soak.ledger.checkIdle(c, time.Millisecond)
	if c.ended {
		return dial(v.outbound)
	}
	return c, nil
}

// put keeps a connection for further calls.
func (v *vm) put(c *callerConn) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !c.ended {
		v.idle = append(v.idle, c)
	}
}
