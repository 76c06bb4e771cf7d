package controller

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/balancer"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// Announcement is what an upstream reports to its own node periodically, to renew its lease.
type Announcement struct {
	Service string `json:"service"`
	Version string `json:"version"`
	Address string `json:"address"`
	Slots   int    `json:"slots"`
	// Connections is the highest number of connections that the upstream accepts; 0 stands for the configured limit.
	Connections int `json:"connections"`
	// ColdStartMs is the remaining time until the upstream is warm, in milliseconds.
	ColdStartMs int64 `json:"cold-start-ms"`
	Draining    bool  `json:"draining"`

	// Instance identifies the upstream's incarnation, or is empty.
	Instance string `json:"instance,omitempty"`
	// StartedUnixMs is the incarnation's start by the upstream's own clock. It grows with each incarnation.
	StartedUnixMs int64 `json:"started-unix-ms,omitempty"`
	// Sequence grows with each announcement of an incarnation, so that stale ones are detected. 0 means unordered.
	Sequence uint64 `json:"sequence,omitempty"`
	// Renewal is that of the response to the upstream's last announcement, or 0.
	Renewal uint32 `json:"renewal,omitempty"`
}

// incarnation returns the identity of the announced upstream.
func (a Announcement) incarnation() balancer.Incarnation {
	return balancer.Incarnation{Instance: a.Instance, StartedUnixMs: a.StartedUnixMs}
}

// coldStart returns the remaining time until the upstream is warm.
func (a Announcement) coldStart() time.Duration {
	return time.Duration(a.ColdStartMs) * time.Millisecond
}

// AnnouncementResponse is the node's response to an Announcement.
type AnnouncementResponse struct {
	// LeaseMs is how long the announcement is valid, in milliseconds.
	LeaseMs int64 `json:"lease-ms"`
	// Draining is set if an operator or the node's shutdown drains the upstream, or its availability zone is evacuated.
	Draining bool `json:"draining"`
	// Renewal, unless 0, means that the announcement may be a late one of an upstream that has left under an earlier process of
	// the node. The upstream gets no calls, but for a short time after the start of the node, until it has returned the value in
	// its next announcement or, if it returns none, has gone on with its announcements for the time of a lease.
	Renewal uint32 `json:"renewal,omitempty"`
}

const (
	maxSlots       = 10_000
	maxConnections = 10_000
	maxColdStart   = time.Hour
)

// invalidReason returns why an announcement is invalid, or an empty string.
func (a Announcement) invalidReason() string {
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
	if address, err := netip.ParseAddrPort(a.Address); err != nil || address.Port() == 0 {
		return "address must be IP:port, with a port of 1 to 65535"
	}
	return ""
}

// Announce renews the lease of the local upstream. A stale announcement is ignored without an error, unless it is a draining one of the
// announced incarnation. A draining one is a leave, for which Announce waits as Withdraw does.
func (k *Controller) Announce(a Announcement) (AnnouncementResponse, error) {
	if reason := a.invalidReason(); reason != "" {
		return AnnouncementResponse{}, &Error{Operation: "announce", Kind: KindInvalid, Detail: reason}
	}
	var answer AnnouncementResponse
	var saved <-chan struct{}
	ok := k.do(func() {
		answer = k.renewLease(a, time.Now())
		saved = k.leaveRecord.saved
	})
	if !ok {
		return answer, errClosed("announce")
	}
	if a.Draining {
		k.awaitSaved(a.Instance, saved)
	}
	return answer, nil
}

func errClosed(operation string) error {
	return &Error{Operation: operation, Kind: KindClosed, Detail: "the node has shut down"}
}

// renewLease replaces the lease's announcement, unless a is stale, and updates this node's own member.
func (k *Controller) renewLease(a Announcement, now time.Time) AnnouncementResponse {
	answer := AnnouncementResponse{LeaseMs: k.common.Settings.Lease.Milliseconds(),
		Draining: k.state.DrainedNodes[k.table.Self().Node] || k.state.EvacuatedZones[k.table.Self().Zone] || k.leaving}
	if k.lease.isStale(a) {
		if a.Draining && a.incarnation() == k.lease.announcement.incarnation() {
			// It does not come back, whatever was announced after that. The sequence may be that of another writer.
			k.withdraw(a.Instance, a.StartedUnixMs)
		}
		k.common.Logger.Info("stale announcement ignored", "instance", a.Instance, "sequence", a.Sequence, "draining", a.Draining)
		return answer
	}
	confirmed := a.Draining || k.confirmation.confirms(a, now)
	if !confirmed {
		accepted := k.confirmation.acceptsUnconfirmed(now)
		k.common.Logger.Info("announcement may be late, renewal requested",
			"instance", a.Instance, "sequence", a.Sequence, "accepted", accepted)
		answer.Renewal = k.confirmation.renewal
		if !accepted {
			return answer
		}
	}
	k.lease.provisional = !confirmed
	first := k.lease.announcement.Service == ""
	newIncarnation := first || a.Instance != k.lease.announcement.Instance ||
		a.StartedUnixMs != k.lease.announcement.StartedUnixMs
	k.lease.announcement = a
	k.lease.announcedAt, k.lease.coldUntil = now, now.Add(a.coldStart())
	k.lease.expiresAt = now.Add(k.common.Settings.Lease)
	k.snapshotCache.dirtyStatus = true
	if newIncarnation || a.Version != k.table.Self().Version {
		k.lease.warmAt = now.Add(a.coldStart())
	} else {
		k.lease.extendColdStart(a.coldStart(), now)
	}
	if a.Draining {
		k.withdraw(a.Instance, a.StartedUnixMs)
	}
	k.updateSelfFromLease()
	if newIncarnation {
		k.common.Logger.Info("upstream announced",
			"service", a.Service, "version", a.Version, "instance", a.Instance, "slots", a.Slots)
		k.recordEvent("upstream-announced", map[string]string{"service": a.Service, "version": a.Version})
	}
	return answer
}

// updateSelfFromLease copies the lease into this node's own member.
func (k *Controller) updateSelfFromLease() {
	a := k.lease.announcement
	k.updateSelf(func(m *schema.Member) {
		m.Service = a.Service
		m.Version = a.Version
		m.Slots = uint32(a.Slots)
		m.Draining = k.lease.draining() || k.draining
		m.WarmUnixMs = k.lease.warmAt.UnixMilli()
		m.Instance, m.InstanceUnixMs = a.Instance, a.StartedUnixMs
		m.UpstreamLeft = len(k.lease.leaves) > 0
		if m.UpstreamLeft {
			left := k.lease.lastLeave()
			m.Instance, m.InstanceUnixMs = left.Instance, left.StartedUnixMs
		}
	})
}

// expireLease removes the announcement from this node's own member once the lease has expired, or the time for which an upstream
// is accepted that is not confirmed.
func (k *Controller) expireLease(now time.Time) {
	unconfirmed := k.lease.provisional && !k.confirmation.acceptsUnconfirmed(now)
	if k.lease.announcement.Service == "" || now.Before(k.lease.expiresAt) && !unconfirmed {
		return
	}
	k.common.Logger.Warn("upstream lease expired", "service", k.lease.announcement.Service, "unconfirmed", unconfirmed)
	k.recordEvent("upstream-lapsed", map[string]string{"service": k.lease.announcement.Service})
	k.lease.clearAnnouncement()
	k.snapshotCache.dirtyStatus = true
	k.updateSelfFromLease()
}

// endProvisionalLease is called when upstreams that are not confirmed are no longer accepted.
func (k *Controller) endProvisionalLease() {
	k.do(func() { k.expireLease(time.Now()) })
}
