package stutterer

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/standin/harness"
	"github.com/tamarackpitch/tamarackpitch/platform/standin"
)

// addressesPerVM is the number of addresses of a VM. Two of them lie between control and admin, for renewals.
const addressesPerVM = 9

// vm is a VM with a node and an upstream. Only callInner, dial and presentNow are safe for concurrent use.
type vm struct {
	soak   *Soak
	number int
	zone   string
	// Addresses, IP:port.
	outbound, inbound, ready, heartbeat, control, admin, upstreamAddress string

	node *harness.Process
	// upstream is nil while there is none.
	upstream *upstream
	// started counts the nodes and upstreams that were started anew.
	started int

	// mu guards service, presence and idle.
	mu       sync.Mutex
	service  string
	presence presence
	// idle holds the upstreams' unused connections to the node.
	idle []*callerConn
}

func newVM(s *Soak, number int, a []string) *vm {
	return &vm{soak: s, number: number, zone: fmt.Sprintf("zone-%d", number%zones), outbound: a[0], inbound: a[1], ready: a[2],
		heartbeat: a[3], control: a[4], admin: a[7], upstreamAddress: a[8]}
}

// start starts a new node and a new upstream, of a service.
func (v *vm) start(service string) error {
	v.mu.Lock()
	v.service = service
	v.mu.Unlock()
	v.started++
	v.renew()
	name := fmt.Sprintf("vm-%d-%d", v.number, v.started)
	path := filepath.Join(v.soak.dir, name+".yaml")
	if err := v.writeSettings(path, name, v.started == 1); err != nil {
		return err
	}
	var err error
	if v.node, err = harness.StartProcess(v.soak.dir, name, v.soak.config.Product, "node", "--settings="+path); err != nil {
		return err
	}
	return v.startUpstream()
}

// writeSettings writes the settings of a node.
func (v *vm) writeSettings(path, name string, firstStart bool) error {
	control, admin := netip.MustParseAddrPort(v.control), netip.MustParseAddrPort(v.admin)
	text, err := standin.FillTemplate(v.soak.template, map[string]any{
		"NodeName": name, "Zone": v.zone, "Region": "r", "Service": v.service, "FirstStart": firstStart,
		"Listen": map[string]any{"Outbound": v.outbound, "Inbound": v.inbound, "Ready": v.ready, "Control": v.heartbeat},
		"Ip":     control.Addr().String(), "PortRange": []any{control.Port(), admin.Port()},
		"Platform": map[string]any{"Address": strings.TrimPrefix(v.soak.store.URL, "http://")},
		"Limits":   map[string]any{"LinkMbps": linksMbps[v.number%len(linksMbps)]}})
	if err != nil {
		return err
	}
	return os.WriteFile(path, []byte(text), 0o644)
}

// restart starts the node again, which must have ended.
func (v *vm) restart() error {
	v.renew()
	if err := v.writeSettings(filepath.Join(v.soak.dir, v.node.Name+".yaml"), v.node.Name, false); err != nil {
		return err
	}
	return v.node.Restart()
}

// renew records that the next process is about to start.
func (v *vm) renew() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.presence = presence{process: v.presence.process + 1, calmSince: time.Now()}
}

// setCalm records the end of a disruption, or the beginning of one.
func (v *vm) setCalm(calm bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.presence.calmSince = time.Time{}
	if calm {
		v.presence.calmSince = time.Now()
	}
}

// presentNow returns what is known of the process now.
func (v *vm) presentNow() presence {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.presence
}

// startUpstream starts a new upstream.
func (v *vm) startUpstream() error {
	v.started++
	u, err := startUpstream(v, fmt.Sprintf("i-%03d%03d", v.number, v.started), v.service)
	if err == nil {
		v.upstream = u
	}
	return err
}

// endUpstream ends the upstream, if there is one.
func (v *vm) endUpstream() {
	if v.upstream != nil {
		v.upstream.end()
		v.upstream = nil
	}
}

// isReady reports whether the node passes the platform's readiness check.
func (v *vm) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + v.ready + standin.ReadinessPath)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// dial returns a new connection to the node.
func (v *vm) dial() (*callerConn, error) {
	conn, err := net.DialTimeout("tcp", v.outbound, dialTimeout)
	if err != nil {
		return nil, err
	}
	// If the node has ended meanwhile, so that the service is that of the next one, the connection has ended as well.
	v.mu.Lock()
	defer v.mu.Unlock()
	return newCallerConn(v.soak.ledger, conn, v.service), nil
}

// callInner makes a call of a run, through the node. It reports whether the call succeeds.
func (v *vm) callInner(q request, upstream string) bool {
	c := v.take()
	c.checkIdle(time.Millisecond)
	if c.ended {
		var err error
		if c, err = v.dial(); err != nil {
			return false
		}
	}
	a := c.call(q, upstream)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.idle = append(v.idle, c)
	return a.success()
}

// take returns an idle connection, or one that has ended.
func (v *vm) take() *callerConn {
	v.mu.Lock()
	defer v.mu.Unlock()
	n := len(v.idle)
	if n == 0 {
		return &callerConn{ended: true}
	}
	c := v.idle[n-1]
	v.idle = v.idle[:n-1]
	return c
}
