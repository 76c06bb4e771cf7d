package returner

import (
	"fmt"
	"time"

	"github.com/tamarackpitch/tamarackpitch/platform/standin"
)

// sample holds the counters of one node at a moment.
type sample struct {
	store   standin.Traffic
	overlay uint64
}

// cost is what a mesh spent in a phase.
type cost struct {
	elapsed time.Duration
	store   standin.Traffic
	// configReaders is the number of nodes that requested the newest configuration from the store, and maxInZone the highest
	// number of them in one zone.
	configReaders int
	maxInZone     int
	// overlay is the sum of the bytes on the links of all nodes, both ways, and maxOverlay that of the node with most.
	overlay    uint64
	maxOverlay uint64
}

func sampleAll(nodes []*node) []sample {
	samples := make([]sample, len(nodes))
	for i, n := range nodes {
		samples[i] = sample{store: n.store.Traffic(), overlay: n.overlayBytes()}
	}
	return samples
}

// costSince returns what the nodes spent since the samples were taken.
func costSince(nodes []*node, before []sample, elapsed time.Duration) cost {
	c := cost{elapsed: elapsed}
	readersByZone := map[string]int{}
	for i, after := range sampleAll(nodes) {
		spent := after.store.Minus(before[i].store)
		c.store = c.store.Plus(spent)
		if spent.NewestConfigs > 0 {
			c.configReaders++
			readersByZone[nodes[i].zone]++
		}
		overlay := after.overlay - before[i].overlay
		c.overlay += overlay
		c.maxOverlay = max(c.maxOverlay, overlay)
	}
	for _, readers := range readersByZone {
		c.maxInZone = max(c.maxInZone, readers)
	}
	return c
}

// String returns the cost as key=value pairs.
func (c cost) String() string {
	calls := c.store.Reads + c.store.Appends + c.store.NewestConfigs + c.store.NewestMembers
	return fmt.Sprintf("seconds=%.1f store-calls=%d reads=%d appends=%d newest-configs=%d newest-members=%d store-bytes=%d "+
		"config-readers=%d max-config-readers-in-zone=%d overlay-bytes=%d overlay-bytes-max=%d",
		c.elapsed.Seconds(), calls, c.store.Reads, c.store.Appends, c.store.NewestConfigs, c.store.NewestMembers, c.store.Bytes,
		c.configReaders, c.maxInZone, c.overlay, c.maxOverlay)
}
