package forwarder

import (
	"bytes"
	"fmt"
	"strconv"
	"time"
)

// conditionReport is an upstream's condition as one node reports it to another: in a request what the sending node
// remembers, in a response what the node beside the upstream knows.
type conditionReport struct {
	UpstreamCondition
	// upstream is the key of the incarnation that the condition applies to.
	upstream uint64
	// rateDelay is how long the rate limit keeps a further call waiting, to the millisecond. It is negative by the
	// accumulated calls that may be sent at once, and 0 in requests.
	rateDelay time.Duration
}

// write writes the report's header fields.
func (r conditionReport) write(b *bytes.Buffer) {
	writeField(b, headerUpstream, strconv.FormatUint(r.upstream, 16))
	if r.Limited {
		writeField(b, headerRateLimit, strconv.FormatFloat(r.RateLimit, 'g', -1, 64))
		writeField(b, headerRateDelay, strconv.FormatInt(r.rateDelay.Milliseconds(), 10))
	}
	if r.Draining {
		writeField(b, headerDraining, valueDraining)
	}
}

// parseConditionReport reads the header fields of a report. The message must have headerUpstream.
func parseConditionReport(m *message) (r conditionReport, err error) {
	if r.upstream, err = strconv.ParseUint(m.get(headerUpstream), 16, 64); err != nil {
		return r, invalidReport(headerUpstream, m)
	}
	r.Draining = m.get(headerDraining) == valueDraining
	if m.get(headerRateLimit) == "" {
		return r, nil
	}
	r.Limited = true
	if r.RateLimit, err = strconv.ParseFloat(m.get(headerRateLimit), 64); err != nil || !(r.RateLimit >= 0) {
		return r, invalidReport(headerRateLimit, m)
	}
	delay, err := strconv.ParseInt(m.get(headerRateDelay), 10, 32)
	if err != nil {
		return r, invalidReport(headerRateDelay, m)
	}
	r.rateDelay = time.Duration(delay) * time.Millisecond
	return r, nil
}

func invalidReport(header string, m *message) error {
	return &Error{Operation: "read", Kind: KindMalformed, Detail: fmt.Sprintf("%s of %q", header, m.get(header))}
}

// readConditionReport returns the report in a message of another node. It returns false if there is none, and logs one
// that is invalid.
func (x *exchange) readConditionReport(m *message) (conditionReport, bool) {
	if m.get(headerUpstream) == "" {
		return conditionReport{}, false
	}
	r, err := parseConditionReport(m)
	if err != nil {
		x.logCall(x.forwarder.callLog.failures, "condition of an upstream ignored", "error", err)
		return conditionReport{}, false
	}
	return r, true
}
