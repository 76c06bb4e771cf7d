package controller

import (
	"maps"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/gossiper"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

const (
	// crashesToRefuse is the number of upstream crashes after which a request is refused.
	crashesToRefuse = 2
	// crashLifetime is how long a crash counts.
	crashLifetime = time.Minute
	// maxCrashRecords limits the number of request fingerprints.
	maxCrashRecords = 4096
)

// crashRecord holds the upstream crashes during which a request with a certain fingerprint was running.
type crashRecord struct {
	// marks holds the crashes by their random identity.
	marks map[uint64]*schema.CrashMark
}

// ReportCrash records the fingerprints of the requests that were running while the local upstream crashed.
func (k *Controller) ReportCrash(fingerprints []uint64) {
	k.do(func() {
		now := time.Now()
		crash := k.random.Uint64()
		var marks []*schema.CrashMark
		for _, f := range fingerprints {
			marks = append(marks, &schema.CrashMark{
				Fingerprint: f, Crash: crash, ExpiresUnixMs: now.Add(crashLifetime).UnixMilli()})
		}
		k.recordEvent("upstream-crashed", nil)
		k.mergeCrashes(marks, nil, now)
	})
}

// mergeCrashes merges crash marks, and broadcasts the new ones to the neighbours except from. Marks that have expired,
// or that expire implausibly late, are ignored.
func (k *Controller) mergeCrashes(marks []*schema.CrashMark, from *gossiper.Link, now time.Time) {
	var added []*schema.CrashMark
	for _, m := range marks {
		if m.ExpiresUnixMs <= now.UnixMilli() || m.ExpiresUnixMs > now.Add(2*crashLifetime).UnixMilli() {
			continue
		}
		r, ok := k.crashes[m.Fingerprint]
		if !ok && len(k.crashes) >= maxCrashRecords {
			continue
		}
		if !ok {
			r = &crashRecord{marks: map[uint64]*schema.CrashMark{}}
			k.crashes[m.Fingerprint] = r
		}
		if _, known := r.marks[m.Crash]; known {
			continue
		}
		r.marks[m.Crash] = m
		added = append(added, m)
	}
	if len(added) == 0 {
		return
	}
	k.snapshotCache.dirtyStatus = true
	f := k.frame()
	f.CrashMarks = added
	k.broadcast(f, from)
}

func (k *Controller) expireCrashes(now time.Time) {
	for fingerprint, r := range k.crashes {
		maps.DeleteFunc(r.marks, func(_ uint64, m *schema.CrashMark) bool { return m.ExpiresUnixMs <= now.UnixMilli() })
		if len(r.marks) == 0 {
			delete(k.crashes, fingerprint)
		}
	}
}

func (k *Controller) crashMarks() []*schema.CrashMark {
	var marks []*schema.CrashMark
	for _, r := range k.crashes {
		for _, m := range r.marks {
			marks = append(marks, m)
		}
	}
	return marks
}

// refusedRequests returns the fingerprints of requests to be refused, or nil if there are none.
func (k *Controller) refusedRequests() map[uint64]bool {
	var refused map[uint64]bool
	for fingerprint, r := range k.crashes {
		if len(r.marks) < crashesToRefuse {
			continue
		}
		if refused == nil {
			refused = map[uint64]bool{}
		}
		refused[fingerprint] = true
	}
	return refused
}
