package operator

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/recorder"
)

// Filter selects events of the timeline. Empty fields match all events.
type Filter struct {
	Node    string
	Service string
	Route   string
	Rollout string
	Since   time.Time
	Until   time.Time
}

// Matches reports whether an event is selected.
func (f Filter) Matches(e recorder.Event) bool {
	at := time.UnixMilli(e.Stamp.UnixMs)
	switch {
	case f.Node != "" && e.Node != f.Node,
		f.Service != "" && e.Service != f.Service && e.Fields["service"] != f.Service,
		f.Route != "" && e.Route != f.Route,
		f.Rollout != "" && e.Rollout != f.Rollout,
		!f.Since.IsZero() && at.Before(f.Since),
		!f.Until.IsZero() && at.After(f.Until):
		return false
	}
	return true
}

// WriteTimeline writes the selected events, one per line, as text or as JSON.
func WriteTimeline(w io.Writer, events []recorder.Event, f Filter, asJSON bool) error {
	encoder := json.NewEncoder(w)
	for _, e := range events {
		if !f.Matches(e) {
			continue
		}
		if asJSON {
			if err := encoder.Encode(e); err != nil {
				return err
			}
			continue
		}
		if _, err := fmt.Fprintln(w, FormatEvent(e)); err != nil {
			return err
		}
	}
	return nil
}

// FormatEvent formats an event as a line of key=value pairs.
func FormatEvent(e recorder.Event) string {
	at := time.UnixMilli(e.Stamp.UnixMs).UTC().Format("15:04:05.000")
	parts := []string{fmt.Sprintf("%s+%d node=%s event=%s", at, e.Stamp.Counter, e.Node, e.Name)}
	for _, p := range [][2]string{{"service", e.Service}, {"route", e.Route}, {"rollout", e.Rollout}} {
		if p[1] != "" {
			parts = append(parts, p[0]+"="+p[1])
		}
	}
	for _, k := range slices.Sorted(maps.Keys(e.Fields)) {
		parts = append(parts, fmt.Sprintf("%s=%q", k, e.Fields[k]))
	}
	return strings.Join(parts, " ")
}
