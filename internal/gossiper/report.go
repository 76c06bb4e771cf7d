package gossiper

import (
	"context"

	"google.golang.org/grpc"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// SendReport receives a report from another node. It implements the rpc SendReport of the overlay service.
func (g *Gossiper) SendReport(_ context.Context, r *schema.Report) (*schema.ReportAnswer, error) {
	g.emit(Event{Kind: ReportReceived, Report: r})
	return &schema.ReportAnswer{}, nil
}

// Report sends a report to the node at an address and waits until the node has accepted it.
func (g *Gossiper) Report(address string, r *schema.Report) error {
	conn, err := g.reportConn(address)
	if err != nil {
		return &Error{Operation: "report", Kind: KindReport, Cause: err}
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	if _, err := schema.NewOverlayClient(conn).SendReport(ctx, r); err != nil {
		return &Error{Operation: "report", Kind: KindReport, Cause: err}
	}
	return nil
}

// reportConn returns the connection to an address. To make room for a new one it closes any of the others.
func (g *Gossiper) reportConn(address string) (*grpc.ClientConn, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c, ok := g.reportConns[address]; ok {
		return c, nil
	}
	for old, c := range g.reportConns {
		if len(g.reportConns) < maxReportConns {
			break
		}
		_ = c.Close()
		delete(g.reportConns, old)
	}
	c, err := g.connect(address)
	if err != nil {
		return nil, err
	}
	g.reportConns[address] = c
	return c, nil
}
