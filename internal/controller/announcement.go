package controller

import (
	"fmt"
	"net"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/router"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// Announcement is what an upstream tells its own node, again and again.
type Announcement struct {
	Service     string `json:"service"`
	Version     string `json:"version"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	// ColdStartMs is the time the upstream still needs to warm up, in milliseconds.
	ColdStartMs int64 `json:"cold-start-ms"`
	Draining    bool  `json:"draining"`
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
	case a.Connections < 1 || a.Connections > maxConnections:
		return fmt.Sprintf("connections must be 1 to %d", maxConnections)
	case a.ColdStartMs < 0 || a.ColdStartMs > maxColdStart.Milliseconds():
		return "cold-start-ms must be 0 to 3600000"
	}
	host, _, err := net.SplitHostPort(a.Address)
	if err != nil || net.ParseIP(host) == nil {
		return "address must be IP:port"
	}
	return ""
}

// lease is the local upstream's announcement. The zero lease has lapsed.
type lease struct {
	announcement Announcement
	expires      time.Time
	warmAt       time.Time
}

// local returns the upstream beside the node, or nil.
func (l *lease) local(drained bool) *router.Local {
	a := l.announcement
	if a.Service == "" {
		return nil
	}
	return &router.Local{Service: a.Service, Version: a.Version, Address: a.Address, Slots: a.Slots,
		Connections: a.Connections, Draining: a.Draining || drained, WarmAt: l.warmAt}
}

// Announce renews the lease of the upstream beside this node.
func (k *Controller) Announce(a Announcement) (AnnouncementAnswer, error) {
	if reason := a.check(); reason != "" {
		return AnnouncementAnswer{}, &Error{Operation: "announce", Kind: KindInvalid, Detail: reason}
	}
	var answer AnnouncementAnswer
	ok := k.do(func() { answer = k.renewLease(a, time.Now()) })
	if !ok {
		return answer, &Error{Operation: "announce", Kind: KindClosed, Detail: "the node has ended"}
	}
	return answer, nil
}

func (k *Controller) renewLease(a Announcement, now time.Time) AnnouncementAnswer {
	fresh := k.lease.announcement.Service == ""
	k.lease.announcement = a
	k.lease.expires = now.Add(k.common.Settings.Lease)
	k.view.dirtyTime = true
	self := k.table.Self()
	if fresh || a.Version != self.Version {
		k.lease.warmAt = now.Add(time.Duration(a.ColdStartMs) * time.Millisecond)
	}
	k.changeSelf(func(m *schema.Member) {
		m.Service = a.Service
		m.Version = a.Version
		m.Slots = uint32(a.Slots)
		m.Draining = a.Draining || k.leaving
		m.WarmUnixMs = k.lease.warmAt.UnixMilli()
	})
	if fresh {
		k.record("upstream-announced", map[string]string{"service": a.Service, "version": a.Version})
	}
	return AnnouncementAnswer{LeaseMs: k.common.Settings.Lease.Milliseconds(),
		Draining: k.state.DrainedNodes[self.Node] || k.leaving}
}

func (k *Controller) expireLease(now time.Time) {
	if k.lease.announcement.Service == "" || now.Before(k.lease.expires) {
		return
	}
	k.common.Logger.Warn("upstream's lease lapsed", "service", k.lease.announcement.Service)
	k.record("upstream-lapsed", map[string]string{"service": k.lease.announcement.Service})
	k.lease = lease{}
	k.changeSelf(func(m *schema.Member) {
		m.Service = ""
		m.Version = ""
		m.Slots = 0
	})
}
