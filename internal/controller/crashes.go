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
	crashLifetime   = time.Minute
	// maxCrashRecords bounds the remembered fingerprints.
	maxCrashRecords = 4096
)

// crashRecord holds the crashes during which a request was running.
type crashRecord struct {
	// crashes by their random identity.
	crashes map[uint64]*schema.CrashMark
}

// ReportCrash notes the requests that ran while the upstream beside this node crashed.
func (k *Controller) ReportCrash(fingerprints []uint64) {
	k.do(func() {
		now := time.Now()
		crash := k.random.Uint64()
		var marks []*schema.CrashMark
		for _, f := range fingerprints {
			marks = append(marks, &schema.CrashMark{Fingerprint: f, Crash: crash, ExpiresUnixMs: now.Add(crashLifetime).UnixMilli()})
		}
		k.record("upstream-crashed", nil)
		k.mergeCrashes(marks, nil, now)
	})
}

func (k *Controller) mergeCrashes(marks []*schema.CrashMark, from *gossiper.Link, now time.Time) {
	var fresh []*schema.CrashMark
	for _, m := range marks {
		if m.ExpiresUnixMs <= now.UnixMilli() || m.ExpiresUnixMs > now.Add(2*crashLifetime).UnixMilli() {
			continue
		}
		r, ok := k.crashes[m.Fingerprint]
		if !ok && len(k.crashes) >= maxCrashRecords {
			continue
		}
		if !ok {
			r = &crashRecord{crashes: map[uint64]*schema.CrashMark{}}
			k.crashes[m.Fingerprint] = r
		}
		if _, known := r.crashes[m.Crash]; known {
			continue
		}
		r.crashes[m.Crash] = m
		fresh = append(fresh, m)
	}
	if len(fresh) == 0 {
		return
	}
	k.view.dirtyTime = true
	f := k.frame()
	f.CrashMarks = fresh
	k.broadcast(f, from)
}

func (k *Controller) expireCrashes(now time.Time) {
	for fingerprint, r := range k.crashes {
		maps.DeleteFunc(r.crashes, func(_ uint64, m *schema.CrashMark) bool { return m.ExpiresUnixMs <= now.UnixMilli() })
		if len(r.crashes) == 0 {
			delete(k.crashes, fingerprint)
		}
	}
}

func (k *Controller) crashMarks() []*schema.CrashMark {
	var marks []*schema.CrashMark
	for _, r := range k.crashes {
		for _, m := range r.crashes {
			marks = append(marks, m)
		}
	}
	return marks
}

func (k *Controller) refusedRequests() map[uint64]bool {
	var refused map[uint64]bool
	for fingerprint, r := range k.crashes {
		if len(r.crashes) < crashesToRefuse {
			continue
		}
		if refused == nil {
			refused = map[uint64]bool{}
		}
		refused[fingerprint] = true
	}
	return refused
}
