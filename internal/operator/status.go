package operator

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/controller"
)

// allReached reports whether every node has a version or a later one in force.
func allReached(statuses []controller.Status, version uint64) bool {
	for _, s := range statuses {
		if s.Version < version {
			return false
		}
	}
	return true
}

// WriteStatus writes the number of nodes for each version and active preset, a table of the nodes, and the names of
// unreachable ones.
func WriteStatus(w io.Writer, statuses []controller.Status, unreachable []string) {
	versions := map[uint64]int{}
	presets := map[string]int{}
	for _, s := range statuses {
		versions[s.Version]++
		presets[s.Preset]++
	}
	for _, v := range slices.Sorted(maps.Keys(versions)) {
		_, _ = fmt.Fprintf(w, "version=%d nodes=%d\n", v, versions[v])
	}
	for _, p := range slices.Sorted(maps.Keys(presets)) {
		_, _ = fmt.Fprintf(w, "preset=%s nodes=%d\n", p, presets[p])
	}
	writeEvacuations(w, statuses)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "NODE\tZONE\tREADY\tVERSION\tSERVICE\tUPSTREAM\tDRAINING\tMEMBERS\tLINKS\tREADER\tVIOLATIONS\tREASON")
	for _, s := range statuses {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%t\t%d\t%s\t%s\t%t\t%d\t%d\t%t\t%d\t%s\n", s.Node, s.Zone, s.Ready, s.Version,
			s.Service, s.Upstream, s.Draining, s.Members, s.Links, s.LogReader, s.Violations, s.Reason+s.Violation)
	}
	_ = table.Flush()
	for _, n := range unreachable {
		_, _ = fmt.Fprintf(w, "node=%s answer=none\n", n)
	}
}

// writeEvacuations writes the evacuated availability zones, with the number of nodes that know it and the earliest time at
// which one did.
func writeEvacuations(w io.Writer, statuses []controller.Status) {
	nodes, since := map[string]int{}, map[string]int64{}
	for _, s := range statuses {
		for zone, at := range s.EvacuatedSinceUnixMs {
			if nodes[zone] == 0 || at < since[zone] {
				since[zone] = at
			}
			nodes[zone]++
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(nodes)) {
		_, _ = fmt.Fprintf(w, "zone=%s evacuated=true nodes=%d since=%s\n", zone, nodes[zone],
			time.UnixMilli(since[zone]).UTC().Format(time.RFC3339))
	}
}

// MergeRollouts merges the nodes' views of each rollout. The view of the newest configuration version is used, and of
// several the one with the highest share. An open or paused rollout is at risk if any node says so.
func MergeRollouts(statuses []controller.Status) []controller.RolloutStatus {
	merged := map[string]controller.RolloutStatus{}
	versions := map[string]uint64{}
	for _, s := range statuses {
		for _, r := range s.Rollouts {
			old, ok := merged[r.Name]
			atRisk := r.AtRisk || old.AtRisk
			if !ok || s.Version > versions[r.Name] || r.Share > old.Share && s.Version == versions[r.Name] {
				merged[r.Name] = r
				versions[r.Name] = s.Version
			}
			chosen := merged[r.Name]
			chosen.AtRisk = atRisk && (chosen.Phase == "open" || chosen.Phase == "paused")
			merged[r.Name] = chosen
		}
	}
	all := slices.Collect(maps.Values(merged))
	slices.SortFunc(all, controller.CompareRollouts)
	return all
}

// WriteRollouts writes a table of the rollouts. The column DEADLINE holds the time left at now.
func WriteRollouts(w io.Writer, rollouts []controller.RolloutStatus, now time.Time) {
	if len(rollouts) == 0 {
		_, _ = fmt.Fprintln(w, "no rollouts declared")
		return
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "ROLLOUT\tSERVICE\tFROM\tTO\tPHASE\tSHARE\tDEADLINE\tREASON")
	for _, r := range rollouts {
		phase := r.Phase
		if r.AtRisk {
			phase += " (deadline at risk)"
		}
		left := time.UnixMilli(r.DeadlineUnixMs).Sub(now).Round(time.Second)
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%.3g\t%s\t%s\n", r.Name, r.Service, r.From, r.To, phase, r.Share, left, r.Reason)
	}
	_ = table.Flush()
}
