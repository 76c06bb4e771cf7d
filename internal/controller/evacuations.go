package controller

import (
	"maps"
	"slices"
	"time"
)

// evacuations holds since when this node knows that availability zones are evacuated.
type evacuations map[string]time.Time

// update replaces the evacuated zones. It returns those that are new and those that are no longer evacuated, sorted.
func (e evacuations) update(zones map[string]bool, now time.Time) (evacuated, returned []string) {
	for zone := range zones {
		if _, ok := e[zone]; !ok {
			e[zone] = now
			evacuated = append(evacuated, zone)
		}
	}
	for zone := range e {
		if !zones[zone] {
			delete(e, zone)
			returned = append(returned, zone)
		}
	}
	slices.Sort(evacuated)
	slices.Sort(returned)
	return evacuated, returned
}

// updateEvacuations logs which zones the state evacuates that were not evacuated before, and the other way round.
func (k *Controller) updateEvacuations(now time.Time) {
	evacuated, returned := k.evacuations.update(k.state.EvacuatedZones, now)
	for _, zone := range evacuated {
		k.common.Logger.Info("availability zone evacuated", "zone", zone)
		k.recordEvent("zone-evacuated", map[string]string{"zone": zone})
		if k.start.ready && !k.hasMemberIn(zone) {
			k.common.Logger.Error("evacuated availability zone has no nodes, its name may be wrong", "zone", zone)
		}
	}
	for _, zone := range returned {
		k.common.Logger.Info("availability zone back in service", "zone", zone)
		k.recordEvent("zone-back-in-service", map[string]string{"zone": zone})
	}
}

// hasMemberIn reports whether a usable member is in an availability zone.
func (k *Controller) hasMemberIn(zone string) bool {
	for _, m := range k.table.Usable() {
		if m.Zone == zone {
			return true
		}
	}
	return false
}

// EvacuatedZones returns the evacuated zones and since when this node knows of each.
func (k *Controller) EvacuatedZones() map[string]time.Time {
	var zones map[string]time.Time
	k.do(func() { zones = maps.Clone(k.evacuations) })
	return zones
}
