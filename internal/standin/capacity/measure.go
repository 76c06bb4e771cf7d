// Package capacity measures the control plane's costs at the target size and computes the table of docs/CAPACITY.md.
package capacity

import (
	"fmt"
	"io"
	"runtime"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tamarackpitch/tamarackpitch/internal/controller"
	"github.com/tamarackpitch/tamarackpitch/internal/registrar"
	"github.com/tamarackpitch/tamarackpitch/pkg/reducer"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

const repeats = 20

// FullState returns a configuration state of the target's size.
func FullState(t Target) *reducer.State {
	s := reducer.NewState()
	for i := range int(t.Services) {
		name := fmt.Sprintf("service-%04d", i)
		s.Services[name] = &schema.Service{Name: name, StableVersion: "v1", Versions: []string{"v1", "v2"}}
	}
	for i := range int(t.Routes) {
		name := fmt.Sprintf("route-%05d", i)
		s.Routes[name] = &schema.Route{Name: name, Service: fmt.Sprintf("service-%04d", i%int(t.Services)),
			PathPrefix: "/" + name, Methods: []string{"GET", "POST"}, Class: "status", TimeoutMs: 3000}
	}
	return s
}

// FullMembers returns the members of a mesh of the target's size.
func FullMembers(t Target) []*schema.Member {
	members := make([]*schema.Member, int(t.Nodes))
	for i := range members {
		members[i] = &schema.Member{Node: fmt.Sprintf("node-%05d", i), Incarnation: uint64(time.Now().UnixMilli()), Sequence: 3,
			Zone: fmt.Sprintf("zone-%02d", i%int(t.Zones)), Region: fmt.Sprintf("region-%d", i%4),
			ControlAddress: fmt.Sprintf("10.%d.%d.%d:8082", i>>16, i>>8&255, i&255), PeerAddress: fmt.Sprintf("10.%d.%d.%d:8081", i>>16, i>>8&255, i&255),
			AdminAddress: fmt.Sprintf("10.%d.%d.%d:8083", i>>16, i>>8&255, i&255), Service: fmt.Sprintf("service-%04d", i%int(t.Services)), Version: "v1", Slots: 6}
	}
	return members
}

func heapMB() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / (1 << 20)
}

// meanMs returns the mean duration of a call of f, in milliseconds.
func meanMs(f func()) float64 {
	began := time.Now()
	for range repeats {
		f()
	}
	return float64(time.Since(began).Microseconds()) / 1000 / repeats
}

// Measure prints the costs that grow with the mesh at a quarter, a half and all of the target's size.
func Measure(w io.Writer) error {
	for _, scale := range []float64{0.25, 0.5, 1} {
		t := TwoYearsOut()
		t.Nodes *= scale
		t.Services *= scale
		t.Routes *= scale
		if err := measureAt(w, t); err != nil {
			return err
		}
	}
	return nil
}

func measureAt(w io.Writer, t Target) error {
	before := heapMB()
	state := FullState(t)
	stateMB := heapMB() - before
	before = heapMB()
	members := FullMembers(t)
	table := registrar.New(registrar.Config{Self: members[0]}, time.Now())
	for _, m := range members[1:] {
		table.Merge(m, time.Now())
	}
	model := controller.NewLoadModel(state, table)
	model.AddMembers(members)
	model.BuildAll()
	membersMB := heapMB() - before
	encoded, err := proto.Marshal(state.Encode())
	if err != nil {
		return err
	}
	n := 0
	applyMs := meanMs(func() {
		n++
		model.Change(fmt.Sprintf("change-%d", n))
	})
	memberMs := meanMs(func() {
		n++
		model.MemberChange(members[n%len(members)])
	})
	tickMs := meanMs(model.Tick)
	_, err = fmt.Fprintf(w, "bench=capacity nodes=%.0f services=%.0f routes=%.0f state-mb=%.2f state-bytes=%d members-mb=%.2f member-kb=%.3f apply-ms=%.3f member-ms=%.4f tick-ms=%.3f\n",
		t.Nodes, t.Services, t.Routes, stateMB, len(encoded), membersMB, membersMB*1024/t.Nodes, applyMs, memberMs, tickMs)
	runtime.KeepAlive(model)
	return err
}
