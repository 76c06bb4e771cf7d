package gossiper

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/tamarackpitch/tamarackpitch/internal/recorder"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// TestRequestTokens: requests for tokens are answered, fail once the granter is gone, and are answered again as soon as it is
// back. It logs the bytes of a request of three customers.
func TestRequestTokens(t *testing.T) {
	answer := func(r *schema.TokenRequest) *schema.TokenResponse {
		a := &schema.TokenResponse{}
		for range r.Demands {
			a.Grants = append(a.Grants, &schema.TokenGrant{Tokens: 2})
		}
		return a
	}
	start := func(address string) *Gossiper {
		g, err := New(Config{Listen: address, Logger: hclog.NewNullLogger(), Clock: recorder.New("n", time.Now).Clock(), GrantTokens: answer})
		qt.Assert(t, err, qt.IsNil)
		return g
	}
	asking, granting := start("127.0.0.1:0"), start("127.0.0.1:0")
	defer asking.Close()
	address := granting.listener.Addr().String()
	request := &schema.TokenRequest{Group: 1, Groups: 4, Node: "node-of-zone-a-12", Members: 65, LentUntilMs: 1300}
	for range 3 {
		request.Demands = append(request.Demands, &schema.TokenDemand{Customer: "customer1", Held: 1, Waiting: 1, CallsPerSecond: 0.4})
	}
	const requests = 100
	for range requests {
		a, err := asking.AskTokens(address, request)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, len(a.Grants), qt.Equals, 3)
	}
	sent, received := asking.Meter().Totals()
	t.Logf("a request of 3 customers: %d bytes out, %d bytes in", sent/requests, received/requests)

	granting.Close()
	_, err := asking.AskTokens(address, request)
	qt.Assert(t, err, qt.IsNotNil)
	granting = start(address)
	defer granting.Close()
	_, err = asking.AskTokens(address, request)
	qt.Assert(t, err, qt.IsNil)
}

// TestRequestTokensGivenUp: a request whose sender has given it up is not served, since it would lend a share that may be
// lent elsewhere by then.
func TestRequestTokensGivenUp(t *testing.T) {
	served := 0
	g := &Gossiper{config: Config{GrantTokens: func(*schema.TokenRequest) *schema.TokenResponse {
		served++
		return &schema.TokenResponse{}
	}}}
	ctx, cancel := context.WithCancel(context.Background())
	_, err := g.RequestTokens(ctx, &schema.TokenRequest{})
	qt.Check(t, err, qt.IsNil)
	cancel()
	_, err = g.RequestTokens(ctx, &schema.TokenRequest{})
	qt.Check(t, err, qt.IsNotNil)
	qt.Check(t, served, qt.Equals, 1)
}

// TestDropReportConn: when several requests to a node fail, the second failure does not close the connection that was made
// after the first.
func TestDropReportConn(t *testing.T) {
	g, err := New(Config{Listen: "127.0.0.1:0", Logger: hclog.NewNullLogger(), Clock: recorder.New("n", time.Now).Clock()})
	qt.Assert(t, err, qt.IsNil)
	defer g.Close()
	const address = "127.0.0.1:1"
	old, err := g.reportConn(address)
	qt.Assert(t, err, qt.IsNil)
	g.dropReportConn(address, old)
	next, err := g.reportConn(address)
	qt.Assert(t, err, qt.IsNil)
	g.dropReportConn(address, old)
	kept, err := g.reportConn(address)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, kept, qt.Equals, next)
}
