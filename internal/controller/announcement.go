package controller

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// Announcement is what an upstream tells its own node, again and again.
type Announcement struct {
	Service string `json:"service"`
	Version string `json:"version"`
	Address string `json:"address"`
	Slots   int    `json:"slots"`
	// Connections is the most that the upstream accepts; 0 leaves it to the configuration.
	Connections int `json:"connections"`
	// ColdStartMs is the time the upstream still needs to warm up, in milliseconds.
	ColdStartMs int64 `json:"cold-start-ms"`
	Draining    bool  `json:"draining"`

	// Instance identifies the upstream's incarnation, or is empty.
	Instance string `json:"instance,omitempty"`
	// StartedUnixMs is the incarnation's start by the upstream's own clock; later incarnations have a higher one.
	StartedUnixMs int64 `json:"started-unix-ms,omitempty"`
	// Sequence grows with each announcement of an incarnation, so that late ones are recognised. 0 is unordered.
	Sequence uint64 `json:"sequence,omitempty"`
}

// AnnouncementAnswer tells the upstream how long its announcement lasts.
type AnnouncementAnswer struct {
	LeaseMs int64 `json:"lease-ms"`
	// Draining tells that an operator or the node's shutdown drains the upstream.
	Draining bool `json:"draining"`
}

const (
	maxSlots       = 10_000
	maxConnections = 10_000
	maxColdStart   = time.Hour
)

// check returns why an announcement can't be used, or an empty string.
func (a Announcement) check() string {
	switch {
	case a.Service == "" || a.Version == "" || len(a.Service) > 63 || len(a.Version) > 63:
		return "service and version must be names of 1 to 63 bytes"
	case a.Slots < 1 || a.Slots > maxSlots:
		return fmt.Sprintf("slots must be 1 to %d", maxSlots)
	case a.Connections < 0 || a.Connections > maxConnections:
		return fmt.Sprintf("connections must be 0 to %d", maxConnections)
	case a.ColdStartMs < 0 || a.ColdStartMs > maxColdStart.Milliseconds():
		return "cold-start-ms must be 0 to 3600000"
	}
	host, _, err := net.SplitHostPort(a.Address)
	if err != nil || net.ParseIP(host) == nil {
		return "address must be IP:port"
	}
	return ""
}

// Announce renews the lease of the upstream beside this node.
func (k *Controller) Announce(a Announcement) (AnnouncementAnswer, error) {
	if reason := a.check(); reason != "" {
		return AnnouncementAnswer{}, &Error{Operation: "announce", Kind: KindInvalid, Detail: reason}
	}
	var answer AnnouncementAnswer
	ok := k.do(func() { answer = k.renewLease(a, time.Now()) })
	if !ok {
		return answer, errEnded("announce")
	}
	return answer, nil
}

// Withdraw notes that an incarnation of the upstream takes no new work from now on, for good.
// It returns once no more work is sent to it.
func (k *Controller) Withdraw(instance string, startedUnixMs int64) error {
	ok := k.do(func() { k.withdraw(instance, startedUnixMs) })
	if !ok {
		return errEnded("withdraw")
	}
	return nil
}

func errEnded(operation string) error {
	return &Error{Operation: operation, Kind: KindClosed, Detail: "the node has ended"}
}

func (k *Controller) renewLease(a Announcement, now time.Time) AnnouncementAnswer {
	answer := AnnouncementAnswer{LeaseMs: k.common.Settings.Lease.Milliseconds(),
		Draining: k.state.DrainedNodes[k.table.Self().Node] || k.leaving}
	if k.lease.outdates(a) {
		k.common.Logger.Info("late announcement ignored", "instance", a.Instance, "sequence", a.Sequence)
		return answer
	}
	fresh := k.lease.announcement.Service == ""
	restarted := fresh || a.Instance != k.lease.announcement.Instance || a.StartedUnixMs != k.lease.announcement.StartedUnixMs
	k.lease.announcement = a
	k.lease.expires = now.Add(k.common.Settings.Lease)
	k.view.dirtyTime = true
	if restarted || a.Version != k.table.Self().Version {
		k.lease.warmAt = now.Add(time.Duration(a.ColdStartMs) * time.Millisecond)
	}
	if a.Draining {
		k.withdraw(a.Instance, a.StartedUnixMs)
	}
	k.describeUpstream()
	if restarted {
		k.common.Logger.Info("upstream announced", "service", a.Service, "version", a.Version, "instance", a.Instance, "slots", a.Slots)
		k.record("upstream-announced", map[string]string{"service": a.Service, "version": a.Version})
	}
	return answer
}

// withdraw keeps to the leave of an incarnation, also after a restart of this node.
func (k *Controller) withdraw(instance string, startedUnixMs int64) {
	if startedUnixMs == 0 {
		startedUnixMs = k.lease.startOf(instance)
	}
	if instance == "" || k.lease.hasLeft(instance, startedUnixMs) {
		return
	}
	k.lease.leave(instance, startedUnixMs)
	k.view.dirtyTime = true
	k.common.Logger.Info("upstream leaving", "instance", instance)
	k.describeUpstream()
	k.saveSelf()
}

// describeUpstream puts the lease into this node's own fact.
func (k *Controller) describeUpstream() {
	a := k.lease.announcement
	k.changeSelf(func(m *schema.Member) {
		m.Service = a.Service
		m.Version = a.Version
		m.Slots = uint32(a.Slots)
		m.Draining = k.lease.draining() || k.draining
		m.WarmUnixMs = k.lease.warmAt.UnixMilli()
		m.Instance, m.InstanceUnixMs = a.Instance, a.StartedUnixMs
		m.UpstreamLeft = k.lease.leftInstance != ""
		if m.UpstreamLeft {
			m.Instance, m.InstanceUnixMs = k.lease.leftInstance, k.lease.leftUnixMs
		}
	})
}

func (k *Controller) expireLease(now time.Time) {
	if k.lease.announcement.Service == "" || now.Before(k.lease.expires) {
		return
	}
	k.common.Logger.Warn("upstream's lease lapsed", "service", k.lease.announcement.Service)
	k.record("upstream-lapsed", map[string]string{"service": k.lease.announcement.Service})
	k.lease.lapse()
	k.view.dirtyTime = true
	k.describeUpstream()
}

// saveSelf keeps this node's fact in the log, so that its next start knows what it has promised.
func (k *Controller) saveSelf() {
	self := k.table.Self()
	log := k.config.Log
	k.appender.queue(appendJob{what: "self", write: func(ctx context.Context) error { return log.SaveSelf(ctx, self) }})
}
