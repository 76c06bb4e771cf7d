package stutterer

import (
	"bytes"
	"net/http"
	"time"

	"github.com/tamarackpitch/tamarackpitch/platform/standin"
)

// Services. Runs of serviceOuter make calls to the other two.
const (
	serviceOuter = "tracker"
	servicePlace = "orderbook"
	serviceInner = "drawvault"
)

const (
	host = "mesh.example"
	// maxInner is the greatest number of calls that a run makes.
	maxInner = 2
	// minInnerDeadline and maxInnerDeadline bound the time that a run gives to a call.
	minInnerDeadline = 100 * time.Millisecond
	maxInnerDeadline = 500 * time.Millisecond
	// maxLines is the greatest number of lines of a request's body.
	maxLines = 100
)

// target is a kind of request.
type target struct {
	path       string
	service    string
	routeType  string
	idempotent bool
}

var targets = []target{
	{"/status/", serviceOuter, standin.RouteIdempotent, true},
	{"/place/", servicePlace, standin.RouteNonIdempotent, false},
	{"/drawing/", serviceInner, standin.RouteDownload, true},
}

// innerRoutes are the targets of the calls that runs make.
var innerRoutes = targets[1:]

// request returns a request to the target.
func (t target) request(id string, deadline time.Duration, d *drawer) request {
	q := request{id: id, method: http.MethodGet, host: host, path: t.path + id, deadline: deadline}
	if !t.idempotent {
		q.method = http.MethodPost
		q.body = requestBody(id, d.random.IntN(maxLines)*(len(id)+1))
	}
	return q
}

// requestBody returns the body of a request, which repeats its ID.
func requestBody(id string, length int) []byte {
	line := []byte(id + "\n")
	return bytes.Repeat(line, length/len(line)+1)[:length]
}

// config returns the configuration of the mesh.
func config() standin.Config {
	c := standin.Config{Version: "r1"}
	for i, t := range targets {
		c.Routes = append(c.Routes, standin.Route{Name: t.service, Host: host, PathPrefix: t.path, RouteType: t.routeType, TimeoutS: 2,
			Priority: i, Service: t.service, Attempts: 2})
		c.Services = append(c.Services, standin.Service{Name: t.service, MaxConnections: 100})
	}
	return c
}
