package settings_test

import (
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/tamarackpitch/tamarackpitch/internal/settings"
)

var wordBoundary = regexp.MustCompile(`([a-z])([A-Z])`)

// TestEverySettingIsDocumented checks that each setting has a help text and docs/OPERATIONS.md names its flag.
func TestEverySettingIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	qt.Assert(t, err, qt.IsNil)
	node := reflect.TypeOf(settings.Node{})
	for i := range node.NumField() {
		f := node.Field(i)
		name := f.Tag.Get("name")
		if name == "" {
			name = strings.ToLower(wordBoundary.ReplaceAllString(f.Name, "$1-$2"))
		}
		qt.Assert(t, string(page), qt.Contains, "--"+name)
		qt.Assert(t, f.Tag.Get("help"), qt.Not(qt.Equals), "")
	}
}

func TestInvalidSettings(t *testing.T) {
	valid := settings.Node{Name: "n", Zone: "a", Region: "r", Listen: "127.0.0.1:1", PeerListen: "127.0.0.1:2", ControlListen: "127.0.0.1:3",
		AdminListen: "127.0.0.1:4", LogURL: "http://127.0.0.1:5", Heartbeat: time.Second, SuspectAfter: 3 * time.Second, DeadAfter: time.Second,
		Lease: time.Second, Readers: 1, CheckpointEvery: 1, ReportInterval: time.Second, MaxInFlight: 1, HeaderTimeout: time.Second,
		BodyIdleTimeout: time.Second, IdleTimeout: time.Second, SilenceAfter: time.Second, DrainTimeout: time.Second, LeaveDelay: time.Second, RejoinInterval: time.Second, MemoryLimitMB: 1, Threads: 1}
	unchanged := valid
	qt.Assert(t, unchanged.Validate(), qt.IsNil)
	tests := []struct {
		want   string
		change func(*settings.Node)
	}{
		{`--name="N 1": .*`, func(n *settings.Node) { n.Name = "N 1" }},
		{`--listen="here": expected an address IP:port`, func(n *settings.Node) { n.Listen = "here" }},
		{`--peer="host:1": .*`, func(n *settings.Node) { n.Peers = []string{"host:1"} }},
		{`--log-url="ftp://x": .*`, func(n *settings.Node) { n.LogURL = "ftp://x" }},
		{`--suspect-after="1s": expected at least two heartbeats`, func(n *settings.Node) { n.SuspectAfter = time.Second }},
		{`--readers="0": .*`, func(n *settings.Node) { n.Readers = 0 }},
		{`--renewal-listen="127.0.0.1:5": expected two addresses .*`, func(n *settings.Node) { n.RenewalListen = []string{"127.0.0.1:5"} }},
		{`--renewal-listen="127.0.0.1:6,127.0.0.1:5": .*`, func(n *settings.Node) { n.RenewalListen = []string{"127.0.0.1:6", "127.0.0.1:5"} }},
		{`--renewal-listen="127.0.0.1:5,127.0.0.2:6": .*`, func(n *settings.Node) { n.RenewalListen = []string{"127.0.0.1:5", "127.0.0.2:6"} }},
		{`--renewal-listen="here,127.0.0.2:6": .*`, func(n *settings.Node) { n.RenewalListen = []string{"here", "127.0.0.2:6"} }},
		{`--lease="2h0m0s": .*`, func(n *settings.Node) { n.Lease = 2 * time.Hour }},
	}
	for _, test := range tests {
		n := valid
		test.change(&n)
		qt.Assert(t, n.Validate(), qt.ErrorMatches, test.want)
	}
}

// TestRenewalAddresses checks that a range has its ends and what lies between.
func TestRenewalAddresses(t *testing.T) {
	qt.Assert(t, (&settings.Node{}).RenewalAddresses(), qt.HasLen, 0)
	n := settings.Node{RenewalListen: []string{"127.0.0.1:5", "127.0.0.1:7"}}
	qt.Assert(t, n.RenewalAddresses(), qt.DeepEquals, []string{"127.0.0.1:5", "127.0.0.1:6", "127.0.0.1:7"})
}
