package stutterer

import (
	"fmt"
	"maps"
	"time"

	"github.com/tamarackpitch/tamarackpitch/platform/standin"
)

// versionFormat is the format of a version's number in a configuration.
const versionFormat = "r%d"

// version is a configuration that the operator writes. It has the routes of all targets, and probe routes.
type version struct {
	number int
	// services maps the prefix of each probe route to its service. It is not changed.
	services map[string]string
	// acknowledged is the time from which nodes have to follow the version. It is zero while the store does not hold the
	// version, unless nodes had to know it before the store lost it.
	acknowledged time.Time
}

// withNumber returns an unacknowledged version with the same routes.
func (v version) withNumber(number int) version {
	return version{number: number, services: v.services}
}

// withRoute returns the version with a probe route added or moved.
func (v version) withRoute(prefix, service string) version {
	services := map[string]string{prefix: service}
	for other, s := range v.services {
		if other != prefix {
			services[other] = s
		}
	}
	v.services = services
	return v
}

// withoutRoute returns the version with a probe route removed.
func (v version) withoutRoute(prefix string) version {
	v.services = maps.Clone(v.services)
	delete(v.services, prefix)
	return v
}

// ownPrefix returns the prefix of the probe route that the version adds.
func (v version) ownPrefix() string { return fmt.Sprintf("/probe-r%d/", v.number) }

// config returns the configuration as the operator writes it.
func (v version) config() standin.Config {
	c := config()
	c.Version = fmt.Sprintf(versionFormat, v.number)
	for prefix, service := range v.services {
		c.Routes = append(c.Routes, standin.Route{Name: prefix, Host: host, PathPrefix: prefix, RouteType: standin.RouteIdempotent,
			TimeoutS: routeTimeoutS, Priority: len(targets), Service: service, Attempts: routeAttempts})
	}
	return c
}
