// Package settings defines and validates the settings of a node.
package settings

import (
	"fmt"
	"net"
	"net/url"
	"regexp"
	"strings"
	"time"
)

// Node holds the settings of `tamarackpitch node`. Each is a flag, an environment variable and
// a key of the settings file: --peer-listen, TAMARACKPITCH_PEER_LISTEN and peer-listen.
type Node struct {
	// Identity.
	Name   string `help:"Name of the node, unique in the mesh." required:""`
	Zone   string `help:"Availability zone of the node, such as th-central-a." required:""`
	Region string `help:"Region of the node, such as th-central." required:""`

	// Addresses. All are IP:port.
	Listen        string `help:"Address for callers (HTTP/1.1)." default:"127.0.0.1:8080"`
	PeerListen    string `help:"Address for calls from other nodes." default:"127.0.0.1:8081"`
	PeerAdvertise string `help:"Address that other nodes use for calls, if it differs from --peer-listen."`
	ControlListen string `help:"Address for overlay links of other nodes (gRPC)." default:"127.0.0.1:8082"`
	AdminListen   string `help:"Address for announcements, health, metrics and status (HTTP/1.1)." default:"127.0.0.1:8083"`

	// Platform and peers.
	LogURL         string   `help:"Base URL of the platform's log service." default:"http://127.0.0.1:8090" name:"log-url"`
	Dialect        string   `help:"Protocol of callers, upstreams and the log: own for tamarackpitch's own, platform for that of the users' platform." default:"own" enum:"own,platform"`
	Service        string   `help:"Service of the upstream beside the node, if known in advance."`
	UpstreamListen string   `help:"Address for heartbeats of the platform's upstream; empty for none."`
	RenewalListen  []string `help:"First and last address of a range, IP:port, on one of which the node asks the platform's upstream to renew its first heartbeat; empty for none." name:"renewal-listen" sep:","`
	FirstStart     bool     `help:"The mesh starts for the first time: no earlier process of the node can have acknowledged that its upstream leaves."`
	ReadyListen    string   `help:"Address for the platform's readiness checks; empty for none."`
	Peers          []string `help:"Control addresses of nodes to connect to at start, IP:port." name:"peer" sep:","`

	// Logging.
	LogLevel string `help:"Lowest level to log." default:"info" enum:"trace,debug,info,warn,error"`

	// Membership.
	Heartbeat    time.Duration `help:"Interval between heartbeats on each overlay link." default:"1s"`
	SuspectAfter time.Duration `help:"Silence after which a neighbour is suspected to have failed." default:"3s"`
	DeadAfter    time.Duration `help:"Time that a suspected node has to refute the suspicion before it is declared dead." default:"2s"`
	Lease        time.Duration `help:"Time after which an upstream's announcement expires unless renewed." default:"3s"`

	// Configuration.
	Readers         int           `help:"Number of nodes in each availability zone that read the log." default:"2"`
	FloodRecords    bool          `help:"Forward new records to neighbours at once. If off, nodes that lag behind request what they lack." default:"true" negatable:""`
	CheckpointEvery int           `help:"Number of records between checkpoints; 0 disables checkpoints." default:"500"`
	RejoinInterval  time.Duration `help:"Interval at which one node looks in the log for nodes missing from its membership table." default:"5s"`
	JoinSpread      time.Duration `help:"Longest random delay before a node that starts without --peer first reads the log." default:"0s"`

	// Rollouts.
	ReportInterval time.Duration `help:"Interval between reports of call outcomes to the controllers of rollouts; longer in large meshes." default:"200ms"`

	// Calls.
	MaxInFlight     int           `help:"Maximum calls in flight on the node; further ones are refused." default:"8192"`
	HeaderTimeout   time.Duration `help:"Time that a caller has to send a request's header." default:"10s"`
	BodyIdleTimeout time.Duration `help:"Time without a byte of a body, once the response has begun, after which the call is cut off." default:"30s"`
	IdleTimeout     time.Duration `help:"Time after which an idle connection to an upstream or a node is closed." default:"15s"`
	SilenceAfter    time.Duration `help:"Time without a response after which a call is retried, or its outcome requested over a new connection." default:"1s"`
	LeaveDelay      time.Duration `help:"Time between becoming unready at shutdown and closing the listeners." default:"1s"`
	DrainTimeout    time.Duration `help:"Time that calls in flight have to finish after the listeners are closed." default:"60s"`
	Grace           time.Duration `help:"Time between SIGTERM and the kill. If it is set, calls in flight have until shortly before its end, whatever --drain-timeout." default:"0s"`

	// Runtime.
	Threads  int     `help:"Threads that run Go code at the same time. More add latency, since idle ones search for work." default:"2"`
	LinkMbps float64 `help:"Bandwidth of the VM's network link in Mbit/s; 0 if unknown." default:"0"`

	MemoryLimitMB int `help:"Soft memory limit of the Go runtime, in MiB." default:"200" name:"memory-limit-mb"`
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// Validate checks the settings, and sets PeerAdvertise to PeerListen if it is empty. kong calls it after parsing.
func (n *Node) Validate() error {
	names := map[string]string{"name": n.Name, "zone": n.Zone, "region": n.Region}
	for key, value := range names {
		if !namePattern.MatchString(value) {
			return settingError(key, value, "1 to 63 lower-case letters, digits, dots and dashes")
		}
	}
	addresses := map[string]string{"listen": n.Listen, "peer-listen": n.PeerListen,
		"control-listen": n.ControlListen, "admin-listen": n.AdminListen}
	for key, value := range addresses {
		if err := checkAddress(key, value); err != nil {
			return err
		}
	}
	if n.PeerAdvertise == "" {
		n.PeerAdvertise = n.PeerListen
	}
	if err := checkAddress("peer-advertise", n.PeerAdvertise); err != nil {
		return err
	}
	for key, value := range map[string]string{"upstream-listen": n.UpstreamListen, "ready-listen": n.ReadyListen} {
		if value == "" {
			continue
		}
		if err := checkAddress(key, value); err != nil {
			return err
		}
	}
	for _, p := range n.Peers {
		if err := checkAddress("peer", p); err != nil {
			return err
		}
	}
	if err := n.checkRenewalRange(); err != nil {
		return err
	}
	if u, err := url.Parse(n.LogURL); err != nil || u.Scheme != "http" || u.Host == "" {
		return settingError("log-url", n.LogURL, "a URL such as http://10.0.0.1:8090")
	}
	return n.checkRanges()
}

// checkRanges checks durations and numbers against their bounds.
func (n *Node) checkRanges() error {
	durations := map[string]time.Duration{"heartbeat": n.Heartbeat, "suspect-after": n.SuspectAfter,
		"dead-after": n.DeadAfter, "lease": n.Lease, "report-interval": n.ReportInterval,
		"header-timeout": n.HeaderTimeout, "body-idle-timeout": n.BodyIdleTimeout, "idle-timeout": n.IdleTimeout,
		"silence-after": n.SilenceAfter, "rejoin-interval": n.RejoinInterval, "drain-timeout": n.DrainTimeout, "leave-delay": n.LeaveDelay}
	for key, value := range durations {
		if value < 10*time.Millisecond || value > time.Hour {
			return settingError(key, value.String(), "a duration from 10ms to 1h")
		}
	}
	if n.SuspectAfter < 2*n.Heartbeat {
		return settingError("suspect-after", n.SuspectAfter.String(), "at least two heartbeats")
	}
	numbers := map[string]int{"readers": n.Readers,
		"max-in-flight": n.MaxInFlight, "memory-limit-mb": n.MemoryLimitMB,
		"threads": n.Threads}
	for key, value := range numbers {
		if value < 1 {
			return settingError(key, fmt.Sprint(value), "a number of at least 1")
		}
	}
	if n.JoinSpread < 0 || n.JoinSpread > time.Minute {
		return settingError("join-spread", n.JoinSpread.String(), "a duration from 0s to 1m")
	}
	if n.Grace < 0 || n.Grace > time.Hour {
		return settingError("grace", n.Grace.String(), "a duration from 0s to 1h")
	}
	if n.CheckpointEvery < 0 {
		return settingError("checkpoint-every", fmt.Sprint(n.CheckpointEvery), "a number of at least 0")
	}
	return nil
}

func checkAddress(key, value string) error {
	host, _, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(strings.Trim(host, "[]")) == nil {
		return settingError(key, value, "an address IP:port")
	}
	return nil
}

// Error reports an invalid setting.
type Error struct {
	Operation string
	Kind      string
	Setting   string
	Value     string
	Expected  string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("--%s=%q: expected %s", e.Setting, e.Value, e.Expected)
}

func settingError(setting, value, expected string) error {
	return &Error{Operation: "validate", Kind: "value", Setting: setting, Value: value, Expected: expected}
}
