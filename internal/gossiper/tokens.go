package gossiper

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// tokensTimeout bounds a request for tokens. Calls may wait for its answer.
const tokensTimeout = 400 * time.Millisecond

// RequestTokens serves another node's request for tokens. It implements the rpc RequestTokens of the quota service. A request
// that arrives after its sender has given it up is not served: the sender may have lent its share to another node by then.
func (g *Gossiper) RequestTokens(ctx context.Context, r *schema.TokenRequest) (*schema.TokenResponse, error) {
	if g.config.GrantTokens == nil {
		return g.UnimplementedQuotasServer.RequestTokens(ctx, r)
	}
	if err := ctx.Err(); err != nil {
		return nil, &Error{Operation: "tokens", Kind: KindTokens, Cause: err}
	}
	return g.config.GrantTokens(r), nil
}

// AskTokens asks the node at an address for tokens. After a failure, the connection is made anew.
func (g *Gossiper) AskTokens(address string, r *schema.TokenRequest) (*schema.TokenResponse, error) {
	conn, err := g.reportConn(address)
	if err != nil {
		return nil, &Error{Operation: "tokens", Kind: KindTokens, Cause: err}
	}
	ctx, cancel := context.WithTimeout(context.Background(), tokensTimeout)
	defer cancel()
	answer, err := schema.NewQuotasClient(conn).RequestTokens(ctx, r)
	if err != nil {
		g.dropReportConn(address, conn)
		return nil, &Error{Operation: "tokens", Kind: KindTokens, Cause: err}
	}
	return answer, nil
}

// dropReportConn closes a connection to an address, so that the next request makes a new one: gRPC would wait ever longer
// before it connected again. Another connection that has been made meanwhile stays.
func (g *Gossiper) dropReportConn(address string, conn *grpc.ClientConn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.reportConns[address] == conn {
		_ = conn.Close()
		delete(g.reportConns, address)
	}
}
