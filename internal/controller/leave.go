package controller

import (
	"context"
	"slices"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/balancer"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// leaveSaveTimeout is how long the acknowledgement of a leave waits for the log. Upstreams need it within a second.
const leaveSaveTimeout = 400 * time.Millisecond

// leaveRecord is the state of the write by which the newest leave is saved in this node's member record.
type leaveRecord struct {
	// saved is closed once the newest leave is saved. It is nil if there is none to save.
	saved chan struct{}
	// writing is set while a write is queued or runs.
	writing bool
	// outdated is set if the write under way may precede what has to be saved: the log has returned from a copy since it was queued.
	outdated bool
}

// Withdraw records that an incarnation of the local upstream accepts no new work from now on. startedUnixMs is 0 if the
// start is unknown. From the next routing snapshot on, the incarnation gets no new calls. Withdraw waits for up to leaveSaveTimeout
// until the log has the record as well; without it, the next process of this node learns of the leave from neighbours, or has the
// upstream renew its announcement.
func (k *Controller) Withdraw(instance string, startedUnixMs int64) error {
	var saved <-chan struct{}
	ok := k.do(func() {
		k.withdraw(instance, startedUnixMs)
		saved = k.leaveRecord.saved
	})
	if !ok {
		return errClosed("withdraw")
	}
	k.awaitSaved(instance, saved)
	return nil
}

// awaitSaved waits until a leave is saved. A nil channel means that it is.
func (k *Controller) awaitSaved(instance string, saved <-chan struct{}) {
	if saved == nil {
		return
	}
	select {
	case <-saved:
	case <-k.done:
	case <-time.After(leaveSaveTimeout):
		k.common.Logger.Warn("leave acknowledged before it is saved", "instance", instance)
	}
}

// withdraw marks an incarnation as left, and saves this so that it holds after a restart of this node.
func (k *Controller) withdraw(instance string, startedUnixMs int64) {
	if startedUnixMs == 0 {
		startedUnixMs = k.lease.startTime(instance)
	}
	if instance == "" || k.lease.hasLeft(instance, startedUnixMs) {
		return
	}
	k.lease.markLeft(instance, startedUnixMs)
	k.snapshotCache.dirtyStatus = true
	k.common.Logger.Info("upstream leaving", "instance", instance)
	k.updateSelfFromLease()
	k.saveLeave()
}

// restoreLeave restores a leave from a record of this node's own member that an earlier process has written.
func (k *Controller) restoreLeave(m *schema.Member) {
	if !k.lease.restoreLeave(m) {
		return
	}
	k.common.Logger.Info("leave of an earlier process restored", "instance", m.Instance)
	k.snapshotCache.dirtyStatus = true
	k.updateSelfFromLease()
}

// restoreSavedLeave restores the leave that this node's member record in the log holds, or its seed.
func (k *Controller) restoreSavedLeave(d Discovery) {
	for _, m := range slices.Concat(d.Saved, d.Seeds) {
		if m.Node == k.table.Self().Node {
			k.restoreLeave(m)
		}
	}
}

// saveLeave has this node's member record saved, from which the next process of this node restores which upstream incarnation has left.
// It is written until that has succeeded.
func (k *Controller) saveLeave() {
	if k.leaveRecord.saved == nil {
		k.leaveRecord.saved = make(chan struct{})
	}
	k.leaveRecord.outdated = k.leaveRecord.writing
	k.writeLeave()
}

// writeLeave queues a write of the member record, unless one is queued or there is nothing to save.
func (k *Controller) writeLeave() {
	if k.leaveRecord.saved == nil || k.leaveRecord.writing {
		return
	}
	self, left, log := k.table.Self(), k.lease.lastLeave(), k.config.Log
	k.leaveRecord.writing = k.appender.enqueue(appendJob{name: "self",
		write:    func(ctx context.Context) error { return log.SaveMember(ctx, self) },
		onResult: func(err error) { k.handleLeaveWritten(left, err) }})
}

// handleLeaveWritten handles the result of a write. If it failed or is outdated, or another upstream has left since, tick queues the next
// one.
func (k *Controller) handleLeaveWritten(left balancer.Incarnation, err error) {
	outdated := k.leaveRecord.outdated
	k.leaveRecord.writing, k.leaveRecord.outdated = false, false
	if err != nil || outdated || left != k.lease.lastLeave() {
		return
	}
	close(k.leaveRecord.saved)
	k.leaveRecord.saved = nil
}
