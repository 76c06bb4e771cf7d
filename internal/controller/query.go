package controller

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/tamarackpitch/tamarackpitch/internal/roller"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// Status is the state of one node as the admin server returns it.
type Status struct {
	Node     string `json:"node"`
	Zone     string `json:"zone"`
	Region   string `json:"region"`
	Ready    bool   `json:"ready"`
	Reason   string `json:"reason,omitempty"`
	Version  uint64 `json:"version"`
	Position uint64 `json:"position"`
	// Label is the operator's own name for the version, and LogPosition the position with the era of the log, such as 2/13.
	Label       string `json:"label,omitempty"`
	LogPosition string `json:"log-position"`
	Preset      string `json:"preset"`
	// Service and Upstream are the service and the version of the local upstream.
	Service    string          `json:"service,omitempty"`
	Upstream   string          `json:"upstream-version,omitempty"`
	Draining   bool            `json:"draining"`
	Members    int             `json:"members"`
	Links      int             `json:"links"`
	LogReader  bool            `json:"log-reader"`
	Violations uint64          `json:"invariant-violations"`
	Violation  string          `json:"last-violation,omitempty"`
	BytesIn    uint64          `json:"control-bytes-in"`
	BytesOut   uint64          `json:"control-bytes-out"`
	Rollouts   []RolloutStatus `json:"rollouts"`
	// EvacuatedSinceUnixMs holds since when the node knows that an availability zone is evacuated, by zone.
	EvacuatedSinceUnixMs map[string]int64 `json:"evacuated-since-unix-ms,omitempty"`
}

// RolloutStatus is the state of a rollout as one node knows it.
type RolloutStatus struct {
	Name           string `json:"name"`
	Service        string `json:"service"`
	From           string `json:"from"`
	To             string `json:"to"`
	DeadlineUnixMs int64  `json:"deadline-unix-ms"`
	// Phase is open, paused, watching, completed, rolling-back or rolled-back.
	Phase  string  `json:"phase"`
	Share  float64 `json:"share"`
	AtRisk bool    `json:"at-risk,omitempty"`
	Reason string  `json:"reason,omitempty"`
}

// CompareRollouts orders rollouts by deadline, then by name.
func CompareRollouts(a, b RolloutStatus) int {
	return cmp.Or(cmp.Compare(a.DeadlineUnixMs, b.DeadlineUnixMs), cmp.Compare(a.Name, b.Name))
}

// MemberStatus is one member as the admin server returns it.
type MemberStatus struct {
	Node     string `json:"node"`
	Zone     string `json:"zone"`
	Region   string `json:"region"`
	Status   string `json:"status"`
	Admin    string `json:"admin-address"`
	Service  string `json:"service,omitempty"`
	Version  string `json:"version,omitempty"`
	Draining bool   `json:"draining,omitempty"`
}

// LogEra returns the newest era that the log has stated, or 0, and how often it has returned from an older copy since.
func (k *Controller) LogEra() (era uint32, returns uint64) {
	return k.eraWatch.newest.Load(), k.eraWatch.returns.Load()
}

// Status returns the node's status.
func (k *Controller) Status() Status {
	var s Status
	k.do(func() {
		self := k.table.Self()
		snapshot := k.Snapshot()
		s = Status{Node: self.Node, Zone: self.Zone, Region: self.Region, Ready: snapshot.Ready, Reason: snapshot.Reason,
			Version: k.state.Version, Position: uint64(k.state.Position),
			Label: k.state.Label, LogPosition: k.state.Position.String(), Preset: k.state.ActivePreset, Service: self.Service,
			Upstream: self.Version, Draining: self.Draining || k.state.DrainedNodes[self.Node],
			Members: len(k.table.Usable()), Links: len(k.links), LogReader: k.reader.active.Load()}
		for zone, since := range k.evacuations {
			if s.EvacuatedSinceUnixMs == nil {
				s.EvacuatedSinceUnixMs = map[string]int64{}
			}
			s.EvacuatedSinceUnixMs[zone] = since.UnixMilli()
		}
		for _, r := range k.state.Rollouts {
			s.Rollouts = append(s.Rollouts, k.rolloutStatus(r))
		}
	})
	slices.SortFunc(s.Rollouts, CompareRollouts)
	s.Violations, s.Violation = k.common.Checker.Violations()
	s.BytesOut, s.BytesIn = k.gossiper.Meter().Totals()
	return s
}

// rolloutStatus returns the state of a rollout. An open one is watching once it has reached the last step.
func (k *Controller) rolloutStatus(r *schema.Rollout) RolloutStatus {
	s := RolloutStatus{Name: r.Name, Service: r.Service, From: r.From, To: r.To, DeadlineUnixMs: r.DeadlineUnixMs,
		Reason: r.Reason}
	switch r.Phase {
	case schema.RolloutPhase_ROLLOUT_PHASE_COMPLETED:
		s.Phase, s.Share = "completed", 1
		return s
	case schema.RolloutPhase_ROLLOUT_PHASE_ROLLED_BACK:
		s.Phase = "rolled-back"
		return s
	}
	s.Phase = "open"
	s.Share = k.share(r)
	if p := k.progress[r.Name]; p != nil && p.RolledBack {
		s.Phase, s.Reason = "rolling-back", p.Reason
	}
	if c := k.controlled[r.Name]; c != nil {
		s.AtRisk = c.atRisk
	}
	switch {
	case s.Phase != "open":
	case roller.IsPaused(k.progress[r.Name].GetPauses()):
		s.Phase = "paused"
	case int(k.step(r)) == roller.LastStep(k.state.Preset()):
		s.Phase = "watching"
	}
	return s
}

// Members returns the members that are alive or only suspect, sorted by name.
func (k *Controller) Members() []MemberStatus {
	var all []*schema.Member
	k.do(func() { all = k.table.Usable() })
	members := make([]MemberStatus, len(all))
	for i, m := range all {
		members[i] = MemberStatus{Node: m.Node, Zone: m.Zone, Region: m.Region, Status: statusName(m.Status),
			Admin: m.AdminAddress, Service: m.Service, Version: m.Version, Draining: m.Draining}
	}
	return members
}

// EncodedState returns the configuration state as an encoded schema.State.
func (k *Controller) EncodedState() ([]byte, error) {
	var state *schema.State
	k.do(func() { state = k.state.Encode() })
	return proto.Marshal(state)
}
