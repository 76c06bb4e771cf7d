package controller

import (
	"time"

	"github.com/tamarackpitch/tamarackpitch/pkg/reducer"
)

// maxCompareDelay is the longest time after the begin of an era at which seeds and outcomes are compared with the log.
const maxCompareDelay = 2 * time.Second

// observeEraChange handles the first state of a newer era of the log: it logs what the log has lost, and has this node
// write again what it wrote in the eras before.
func (k *Controller) observeEraChange(before, next *reducer.State) {
	k.eraWatch.observe(LogEra{Number: next.Position.Era(), Stated: true})
	k.closeLinksWithoutEras()
	// Records are not flooded from one era to the next, so neighbours hear of it by a heartbeat.
	k.heartbeatDue = true
	if before.Position == 0 {
		return
	}
	k.logKept(next)
	k.recordEvent("log-returned", map[string]string{"position-before": before.Position.String(), "position": next.Position.String()})
	k.rewriteProgress(time.Now())
	if len(k.lease.leaves) > 0 {
		k.saveLeave()
	}
	k.memberSearch.next = time.Now().Add(randomUpTo(maxCompareDelay))
}

// closeLinksWithoutEras closes the links to nodes of earlier versions of the program, which would take a position of this era
// for an offset.
func (k *Controller) closeLinksWithoutEras() {
	for l, s := range k.links {
		if !s.takesEras {
			k.common.Logger.Warn("link closed to a node that takes no eras of the log", "neighbour", s.node)
			k.closeGracefully(l, nil)
		}
	}
}

// logKept logs what is in force although the log does not hold it.
func (k *Controller) logKept(s *reducer.State) {
	era := s.Position.Era()
	if version := reducer.Position(s.Version); version != 0 && version.Era() < era {
		k.common.Logger.Warn("configuration kept that the log does not hold", "label", s.Label, "version", version, "position", s.Position)
	}
	for name, r := range s.Rollouts {
		if declared := reducer.Position(r.DeclaredVersion); declared.Era() < era {
			k.common.Logger.Warn("rollout kept that the log does not hold", "rollout", name, "to", r.To, "declared", declared)
		}
	}
}
