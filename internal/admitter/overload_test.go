package admitter_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/tamarackpitch/tamarackpitch/internal/admitter"
)

// kind is a kind of call in a replayed load.
type kind struct {
	perSecond float64
	work      time.Duration
	// patience is how long a call may wait for a slot to be in time.
	patience time.Duration
}

// outcome counts what became of the calls of a kind.
type outcome struct {
	came, served, inTime int
}

func (o outcome) share() float64 { return float64(o.served) / float64(o.came) }

// call is one call of the replay.
type call struct {
	kind        int
	came        time.Duration
	latestStart time.Duration
}

// replay plays two kinds of calls against one upstream in virtual time. With fair set they share the bound on
// waiting of the more urgent kind, as the admitter has it; without it each kind has its own bound.
func replay(kinds []kind, slots int, seconds int, fair bool, seed uint64) []outcome {
	random := rand.New(rand.NewPCG(seed, 1))
	outcomes := make([]outcome, len(kinds))
	base := time.Unix(0, 0)
	admitters := make([]admitter.Admitter[*call], 1)
	a := &admitters[0]
	a.SetLimits(slots, 1000)
	next := make([]time.Duration, len(kinds))
	var running []time.Duration
	var served []*call
	begin := func(c *call, now time.Duration) {
		running = append(running, now+kinds[c.kind].work)
		served = append(served, c)
		outcomes[c.kind].served++
		if now <= c.latestStart {
			outcomes[c.kind].inTime++
		}
	}
	const tick = time.Millisecond
	for now := time.Duration(0); now < time.Duration(seconds)*time.Second; now += tick {
		for i := 0; i < len(running); i++ {
			if running[i] > now {
				continue
			}
			a.NoteService(kinds[served[i].kind].work)
			running = append(running[:i], running[i+1:]...)
			served = append(served[:i], served[i+1:]...)
			i--
			a.Release()
			if c, ok := a.Next(); ok {
				begin(c, now)
			}
		}
		for k, spec := range kinds {
			for next[k] <= now {
				next[k] += time.Duration(random.ExpFloat64() / spec.perSecond * float64(time.Second))
				outcomes[k].came++
				c := &call{kind: k, came: now, latestStart: now + spec.patience}
				// A clock an hour ahead for each call hides the other kind's urgency from the admitter.
				at := base.Add(now)
				if !fair {
					at = at.Add(time.Duration(outcomes[0].came+outcomes[1].came) * time.Hour)
				}
				verdict, _, _ := a.Enter(c, admitter.Claim{MayWait: true, LatestStart: at.Add(spec.patience)}, at)
				if verdict == admitter.Granted {
					begin(c, now)
				}
			}
		}
	}
	return outcomes
}

// TestShortCallsAreTurnedAwayNoMoreThanLongOnes replays the overload of a ledger: payments that may wait long,
// and short stock checks on which calls of another service depend. With a bound of its own for each kind the
// payments crowd the checks out.
func TestShortCallsAreTurnedAwayNoMoreThanLongOnes(t *testing.T) {
	kinds := []kind{{perSecond: 33, work: 210 * time.Millisecond, patience: 390 * time.Millisecond},
		{perSecond: 65, work: 40 * time.Millisecond, patience: 110 * time.Millisecond}}
	const slots, seconds = 6, 60
	for seed := range uint64(5) {
		apart := replay(kinds, slots, seconds, false, seed)
		shared := replay(kinds, slots, seconds, true, seed)
		qt.Assert(t, apart[0].share()-apart[1].share() > 0.25, qt.IsTrue, qt.Commentf("apart %+v", apart))
		qt.Assert(t, shared[0].share()-shared[1].share() < 0.1, qt.IsTrue, qt.Commentf("shared %+v", shared))
		qt.Assert(t, shared[1].inTime > apart[1].inTime, qt.IsTrue)
	}
}
