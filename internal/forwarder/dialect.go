package forwarder

import (
	"net/http"
	"slices"
)

// Dialect names the headers that callers, upstreams and nodes use among each other where deployments differ.
// An empty name means that the deployment has no such header.
type Dialect struct {
	// RequestID identifies one attempt of a caller. Upstreams echo it, so that an answer can be told from
	// a late one to an earlier request on the same connection.
	RequestID string
	// TimeLeft is the time for which the caller still waits, in milliseconds.
	TimeLeft string
	// CallerService is the service on whose VM the call entered the mesh. Callers can't set it.
	CallerService string
	// ExpectInstance names the incarnation of the upstream that is meant; another one refuses the call.
	ExpectInstance string
	// NotExecuted marks an upstream's refusal of a call that it did not run.
	NotExecuted string
	// Seal proves that a successful answer is the upstream's own.
	Seal string
	// CrashStatus answers requests that crash upstreams.
	CrashStatus int
	// RetryAfter tells whether refused callers are told when to come back.
	RetryAfter bool
}

// OwnDialect returns the headers of tamarackpitch's own interface.
func OwnDialect() Dialect {
	return Dialect{TimeLeft: headerTimeLeft, CrashStatus: http.StatusUnprocessableEntity}
}

// internal returns the headers that a node sets itself, so that copies from callers are dropped.
func (d Dialect) internal() []string {
	return slices.DeleteFunc([]string{d.TimeLeft, d.CallerService, d.ExpectInstance}, func(name string) bool { return name == "" })
}

// promisesNotRun tells whether a status tells callers that their request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// answerVerdict tells what the answer of the local upstream means.
type answerVerdict int

const (
	// answerGood is the upstream's own answer and goes to the caller unchanged.
	answerGood answerVerdict = iota
	// answerNotRun is a refusal of a call that the upstream did not run.
	answerNotRun
	// answerBad can't be what the upstream meant to say; the call may have run.
	answerBad
	// answerForeign belongs to an earlier request on the connection.
	answerForeign
)

// judge tells what the head of an answer of the upstream means. The id is that of the request.
func (d Dialect) judge(m *message, id string) answerVerdict {
	echoed := ""
	if d.RequestID != "" {
		echoed = m.get(d.RequestID)
		if echoed != "" && echoed != id {
			return answerForeign
		}
	}
	success := m.status >= 200 && m.status < 300
	switch {
	case d.NotExecuted != "" && m.get(d.NotExecuted) != "", d.ExpectInstance != "" && m.status == http.StatusMisdirectedRequest:
		return answerNotRun
	case d.RequestID != "" && echoed == "" && id != "":
		return answerBad
	case d.Seal != "" && success && (m.get(d.Seal) == "" || m.get("Content-Encoding") != ""):
		return answerBad
	case d.NotExecuted != "" && promisesNotRun(m.status):
		return answerBad
	}
	return answerGood
}
