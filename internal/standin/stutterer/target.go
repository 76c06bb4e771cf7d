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
	// routeAttempts is the number of upstreams that a request may be sent to, and routeTimeoutS its timeout in seconds.
	routeAttempts = 2
	routeTimeoutS = 2
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

// config returns what all versions of the configuration have.
func config() standin.Config {
	const connections = 100
	c := standin.Config{}
	for i, t := range targets {
		c.Routes = append(c.Routes, standin.Route{Name: t.service, Host: host, PathPrefix: t.prefix, RouteType: t.routeType,
			TimeoutS: routeTimeoutS, Priority: i, Service: t.service, Attempts: routeAttempts})
		c.Services = append(c.Services, standin.Service{Name: t.service, MaxConnections: connections})
	}
	return c
}
