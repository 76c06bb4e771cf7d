package forwarder

import (
	"net/http"
	"slices"

	"github.com/tamarackpitch/tamarackpitch/internal/parser"
)

// Dialect holds the names of the headers, and the statuses, in which deployments differ. An empty name means that the
// deployment has no such header. Only TimeLeft and CrashStatus are required.
type Dialect struct {
	// RequestID identifies one attempt of a caller. Upstreams echo it, so that a late response to an earlier request on
	// the same connection is recognised.
	RequestID string
	// TimeLeft is how long the caller still waits, in milliseconds.
	TimeLeft string
	// CallerService is the service on whose VM the call entered the mesh. Values from callers are dropped.
	CallerService string
	// ExpectInstance is the upstream incarnation that the call is addressed to. Any other refuses the call.
	ExpectInstance string
	// NotExecuted marks an upstream's refusal of a call that it did not run.
	NotExecuted string
	// Seal proves that a successful response comes from the upstream itself.
	Seal string
	// Key is the API key by which a caller identifies its customer. It goes no further than the node that the caller
	// connects to.
	Key string
	// Customer is the name of the customer that makes the call, as nodes tell each other and upstreams. Values from callers
	// are dropped.
	Customer string
	// Condition decodes what an upstream states about itself in the header of a response. header returns the value of a
	// field, or an empty string. It returns an error if the rate limit is invalid; the rest of the condition holds even
	// then. Condition is nil if upstreams state nothing.
	Condition func(header func(name string) string) (UpstreamCondition, error)
	// CrashStatus is the status of the response to requests that crash upstreams.
	CrashStatus int
	// RetryAfter enables the Retry-After header in refusals.
	RetryAfter bool
}

// OwnDialect returns the dialect of tamarackpitch's own interface.
func OwnDialect() Dialect {
	return Dialect{TimeLeft: headerTimeLeft, Key: headerKey, Customer: headerCustomer,
		CrashStatus: http.StatusUnprocessableEntity}
}

// reservedHeaders returns the headers that nodes set themselves. Copies from callers are dropped.
func (d Dialect) reservedHeaders() []string {
	return slices.DeleteFunc([]string{d.TimeLeft, d.CallerService, d.ExpectInstance, d.Customer}, func(name string) bool { return name == "" })
}

// impliesNotRun reports whether callers conclude from a status that their request has not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// responseClass classifies a response of the local upstream.
type responseClass int

const (
	// responseValid is a valid response of the upstream. It is forwarded unchanged, unless it is a failure and retried.
	responseValid responseClass = iota
	// responseNotExecuted is a refusal of a call that the upstream did not run.
	responseNotExecuted
	// responseInvalid can't be relied on, for instance because its ID or seal is missing. The call may have run.
	responseInvalid
	// responseStale is a response to an earlier request on the connection.
	responseStale
)

// isJoined reports whether a head consists of parts of two responses: a field by which responses are classified occurs twice, or
// one that the upstream makes up has a part of a status line in its value.
func (d Dialect) isJoined(m *message) bool {
	for _, key := range [...]string{d.RequestID, d.Seal, d.NotExecuted} {
		if m.count(key) > 1 {
			return true
		}
	}
	return parser.NamesProtocol(m.get(d.Seal)) || parser.NamesProtocol(m.get(d.NotExecuted))
}

// classify classifies a response head of the upstream. id is the request's value of RequestID, or empty. If there is one,
// the response must echo it: without it, also a refusal may be that of an earlier request, sent once more.
func (d Dialect) classify(m *message, id string) responseClass {
	if d.isJoined(m) {
		return responseInvalid
	}
	echoed := ""
	if d.RequestID != "" {
		echoed = m.get(d.RequestID)
		if echoed != "" && echoed != id {
			return responseStale
		}
	}
	success := m.status >= 200 && m.status < 300
	switch {
	case d.RequestID != "" && echoed == "" && id != "":
		return responseInvalid
	case d.NotExecuted != "" && m.get(d.NotExecuted) != "", d.ExpectInstance != "" && m.status == http.StatusMisdirectedRequest:
		return responseNotExecuted
	case d.Seal != "" && success && (m.get(d.Seal) == "" || m.get("Content-Encoding") != ""):
		return responseInvalid
	case d.NotExecuted != "" && impliesNotRun(m.status):
		return responseInvalid
	}
	return responseValid
}
