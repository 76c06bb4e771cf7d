package capacity

import (
	"fmt"
	"io"
	"strings"
)

// Row is one line of the table of limits.
type Row struct {
	What      string
	Figure    float64
	Limit     float64
	Unit      string
	Mechanism string
}

// Rows computes the figures at the target from the slopes.
func Rows(t Target, s Slopes) []Row {
	changes := t.ChangesPerDay / secondsPerDay
	// A restart floods four member updates: left or dead, alive, announced, and warm under a new incarnation.
	const updatesPerRestart = 4
	memberUpdates := updatesPerRestart * t.RestartsPerDay / secondsPerDay
	// Flooding sends a change over each link once or twice, counting both directions.
	const copiesPerLink = 2
	floodBytes := copiesPerLink * t.LinksPerNode * (changes*t.RecordBytes + memberUpdates*t.MemberBytes)
	idleBytes := s.IdleBytesPerLink * t.LinksPerNode
	cpu := s.IdleCPUPercent + (changes*s.ApplyMs+memberUpdates*s.MemberMs)/10
	memory := s.BaseMemoryMB + t.Nodes*s.MemberKB/1024 + s.StateMB
	entering := t.CallsPerSecond / t.Nodes
	readers := t.Zones * t.ReadersPerZone
	return []Row{
		{"control bytes a node, in and out", idleBytes + floodBytes, t.ControlBytes, "B/s", "heartbeats on at most 8 links; flooding with merge"},
		{"control CPU a node", cpu, t.CPUPercent, "% of a core", "reducer, digest and view after each change"},
		{"memory a node, control", memory, t.MemoryMB, "MB", "membership table, view and configuration"},
		{"calls entering a node", entering, 0, "calls/s", "one poller goroutine"},
		{"CPU of calls a node", entering * s.CallMicros / 10_000, 0, "% of a core", "one poller goroutine"},
		{"log reads", readers, 0, "reads/s", "two readers a zone, reads that wait 1 s"},
		{"log appends, joins", readers / t.JoinRecordPeriod, 300, "appends/s", "join records of the readers only"},
		{"log appends, changes and outcomes", 2 * changes, 300, "appends/s", "one record a change; one outcome a rollout"},
		{"checkpoint bytes in the log", changes / 500 * s.CheckpointBytes, 0, "B/s", "one checkpoint in 500 records"},
		{"lost zone: nodes that come back", t.Nodes / t.Zones, 0, "nodes", "full jitter; snapshots bounded at 16/s a giver"},
	}
}

// WriteTable writes the table of docs/CAPACITY.md.
func WriteTable(w io.Writer, t Target, s Slopes) error {
	var b strings.Builder
	b.WriteString("| what | figure at the target | limit | met | mechanism |\n|---|---|---|---|---|\n")
	for _, r := range Rows(t, s) {
		limit, met := "-", "-"
		if r.Limit > 0 {
			limit = fmt.Sprintf("%g %s", r.Limit, r.Unit)
			met = "yes"
			if r.Figure > r.Limit {
				met = "no"
			}
		}
		fmt.Fprintf(&b, "| %s | %.3g %s | %s | %s | %s |\n", r.What, r.Figure, r.Unit, limit, met, r.Mechanism)
	}
	_, err := io.WriteString(w, b.String())
	return err
}
