package admitter_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tamarackpitch/tamarackpitch/internal/admitter"
)

// TestModel checks random sequences of requests and releases against a model: the limits of slots and queue hold, a
// free slot goes to the highest waiting priority, only a lower priority is evicted, and no item is lost.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		length := rapid.IntRange(0, 5).Draw(t, "length")
		var a admitter.Admitter[int]
		a.SetLimits(slots, length)
		waiting := map[int]int{}
		running := 0
		for item := range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "enter") {
				rank := rapid.IntRange(0, 3).Draw(t, "rank")
				decision, evicted, hasEvicted := a.Enter(item, admitter.Request{Rank: rank, MayQueue: true}, time.Time{})
				if hasEvicted {
					if waiting[evicted] <= rank {
						t.Fatalf("rank %d was evicted for rank %d", waiting[evicted], rank)
					}
					delete(waiting, evicted)
				}
				switch decision {
				case admitter.Granted:
					running++
				case admitter.Queued:
					waiting[item] = rank
				case admitter.Refused:
					if len(waiting) < length {
						t.Fatalf("refused with only %d of %d queued", len(waiting), length)
					}
				}
			} else if running > 0 {
				running--
				a.Release()
				if next, ok := a.Next(time.Time{}); ok {
					for _, rank := range waiting {
						if rank < waiting[next] {
							t.Fatalf("rank %d got a slot before rank %d", waiting[next], rank)
						}
					}
					delete(waiting, next)
					running++
				}
			}
			if running > slots || len(waiting) > length || a.InFlight() != running || a.Queued() != len(waiting) {
				t.Fatalf("model has %d of %d running and %d of %d waiting, admitter has %d and %d",
					running, slots, len(waiting), length, a.InFlight(), a.Queued())
			}
			if len(waiting) > 0 && running < slots {
				t.Fatalf("a slot is free while %d items wait", len(waiting))
			}
		}
	})
}
