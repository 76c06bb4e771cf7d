package stutterer

import (
	"net/http"
	"time"

	"github.com/tamarackpitch/tamarackpitch/platform/standin"
)

const (
	host = "mesh.example"
	// maxInner is the greatest number of calls that a run makes.
	maxInner = 2
	// minInnerDeadline and maxInnerDeadline bound the time that a run gives to a call.
	minInnerDeadline = 100 * time.Millisecond
	maxInnerDeadline = 500 * time.Millisecond
	// maxBody limits the body of a request, in bytes.
	maxBody = 2000
)

// target is a route and its service.
type target struct {
	prefix     string
	service    string
	routeType  string
	idempotent bool
}

// targets are all routes. Runs of the first make calls to the others.
var targets = []target{
	{"/status/", "tracker", standin.RouteIdempotent, true},
	{"/place/", "orderbook", standin.RouteNonIdempotent, false},
	{"/drawing/", "drawvault", standin.RouteDownload, true},
}

// request is a request as a caller sends it.
type request struct {
	id       string
	target   target
	method   string
	body     []byte
	deadline time.Duration
}

// request returns a request to the target.
func (t target) request(id string, deadline time.Duration, d *drawer) request {
	q := request{id: id, target: t, method: http.MethodGet, deadline: deadline}
	if !t.idempotent {
		q.method, q.body = http.MethodPost, repeat(id, d.random.IntN(maxBody))
	}
	return q
}

// config returns the configuration of the mesh.
func config() standin.Config {
	const attempts, connections, timeoutS = 2, 100, 2
	c := standin.Config{Version: "r1"}
	for i, t := range targets {
		c.Routes = append(c.Routes, standin.Route{Name: t.service, Host: host, PathPrefix: t.prefix, RouteType: t.routeType,
			TimeoutS: timeoutS, Priority: i, Service: t.service, Attempts: attempts})
		c.Services = append(c.Services, standin.Service{Name: t.service, MaxConnections: connections})
	}
	return c
}
