// Package settings holds the settings of the processes and checks them.
package settings

import (
	"fmt"
	"net"
	"net/url"
	"regexp"
	"strings"
	"time"
)

// Node holds the settings of `tamarackpitch node`. Each is a flag and an environment
// variable: --peer-listen is TAMARACKPITCH_PEER_LISTEN.
type Node struct {
	// Identity.
	Name   string `help:"Name of the node, unique in the mesh." required:""`
	Zone   string `help:"Availability zone of the node, such as th-central-a." required:""`
	Region string `help:"Region of the node, such as th-central." required:""`

	// Addresses. All are IP:port.
	Listen        string `help:"Address for callers (HTTP/1.1)." default:"127.0.0.1:8080"`
	PeerListen    string `help:"Address for calls from other nodes." default:"127.0.0.1:8081"`
	PeerAdvertise string `help:"Address that other nodes use for calls, if it is not the one listened on."`
	ControlListen string `help:"Address for the overlay (gRPC)." default:"127.0.0.1:8082"`
	AdminListen   string `help:"Address for announcements, health, metrics and status (HTTP/1.1)." default:"127.0.0.1:8083"`

	// Platform and peers.
	LogURL         string   `help:"Base URL of the platform's log service." default:"http://127.0.0.1:8090" name:"log-url"`
	Dialect        string   `help:"What callers, upstreams and the log speak: tamarackpitch's own interface, or that of the users' platform." default:"own" enum:"own,platform"`
	Service        string   `help:"Service of the upstream beside the node, if it is known beforehand."`
	UpstreamListen string   `help:"Address for heartbeats of the upstream on the platform; empty for none."`
	ReadyListen    string   `help:"Address for readiness checks of the platform; empty for none."`
	Peers          []string `help:"Control addresses of nodes to join first, IP:port." name:"peer" sep:","`

	// Logging.
	LogLevel string `help:"Lowest level that is logged." default:"info" enum:"trace,debug,info,warn,error"`

	// Membership.
	Heartbeat    time.Duration `help:"Interval of heartbeats on each overlay link." default:"1s"`
	SuspectAfter time.Duration `help:"Silence of a neighbour after which it is suspected." default:"3s"`
	DeadAfter    time.Duration `help:"Time a suspected node has to refute before it is held dead." default:"2s"`
	Lease        time.Duration `help:"Lifetime of an upstream's announcement." default:"3s"`

	// Configuration.
	Readers         int           `help:"Nodes of a zone that read the log." default:"2"`
	FloodRecords    bool          `help:"Send records on to neighbours at once. Without it a node that lags asks for them." default:"true" negatable:""`
	CheckpointEvery int           `help:"Records between checkpoints; 0 writes none." default:"500"`
	RejoinInterval  time.Duration `help:"Interval at which one node looks in the log for nodes that the mesh does not know." default:"5s"`
	JoinSpread      time.Duration `help:"Time over which nodes that start together spread their first look into the log." default:"0s"`

	// Rollouts.
	ReportInterval time.Duration `help:"Interval at which evidence on rollouts is sent to their controller." default:"200ms"`

	// Calls.
	MaxInFlight     int           `help:"Calls in flight on the node; more are refused." default:"8192"`
	HeaderTimeout   time.Duration `help:"Time a caller has to send a request's header." default:"10s"`
	BodyIdleTimeout time.Duration `help:"Time without any byte of a body after which the call ends." default:"30s"`
	IdleTimeout     time.Duration `help:"Idle time after which a connection towards an upstream or a node is closed." default:"15s"`
	SilenceAfter    time.Duration `help:"Time without an answer after which a call's fate is asked for over a new connection." default:"1s"`
	LeaveDelay      time.Duration `help:"Time between the news that the node leaves and the end of its listeners." default:"1s"`
	DrainTimeout    time.Duration `help:"Time after the end of the listeners in which calls may finish." default:"60s"`

	// Runtime.
	Threads  int     `help:"Threads that run Go code at one time. More of them add latency, since idle ones search for work." default:"2"`
	LinkMbps float64 `help:"Bandwidth of the VM's network link, Mbit/s; 0 if it is not known." default:"0"`

	MemoryLimitMB int `help:"Soft limit of the Go heap, MB." default:"200" name:"memory-limit-mb"`
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// Validate checks every setting. kong calls it after parsing.
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
	if u, err := url.Parse(n.LogURL); err != nil || u.Scheme != "http" || u.Host == "" {
		return settingError("log-url", n.LogURL, "a URL such as http://10.0.0.1:8090")
	}
	return n.checkNumbers()
}

func (n *Node) checkNumbers() error {
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

// Error reports a setting that can't be used.
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
