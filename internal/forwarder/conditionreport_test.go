package forwarder

import (
	"bytes"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/tamarackpitch/tamarackpitch/internal/parser"
)

// headerOf returns a message with the header fields of a head.
func headerOf(head string) *message {
	m := &message{}
	for _, line := range strings.Split(strings.TrimSpace(head), "\r\n") {
		key, value, _ := strings.Cut(line, ": ")
		m.header = append(m.header, parser.Field{Key: key, Value: value})
	}
	return m
}

func TestConditionReportIsReadAsWritten(t *testing.T) {
	for _, r := range []conditionReport{
		{upstream: 7},
		{upstream: 1 << 63, UpstreamCondition: UpstreamCondition{Limited: true, RateLimit: 2.2}, rateDelay: 450 * time.Millisecond},
		{upstream: 7, UpstreamCondition: UpstreamCondition{Limited: true}, rateDelay: -time.Second},
		{upstream: 7, UpstreamCondition: UpstreamCondition{Draining: true}},
	} {
		var b bytes.Buffer
		r.write(&b)
		got, err := parseConditionReport(headerOf(b.String()))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got, qt.Equals, r)
	}
}

func TestInvalidConditionReportsAreRejected(t *testing.T) {
	for _, head := range []string{
		headerUpstream + ": x",
		headerUpstream + ": 7\r\n" + headerRateLimit + ": many\r\n" + headerRateDelay + ": 0",
		headerUpstream + ": 7\r\n" + headerRateLimit + ": -1\r\n" + headerRateDelay + ": 0",
		headerUpstream + ": 7\r\n" + headerRateLimit + ": NaN\r\n" + headerRateDelay + ": 0",
		headerUpstream + ": 7\r\n" + headerRateLimit + ": 1\r\n" + headerRateDelay + ": soon",
	} {
		_, err := parseConditionReport(headerOf(head))
		qt.Assert(t, err, qt.IsNotNil, qt.Commentf("%q", head))
	}
}
