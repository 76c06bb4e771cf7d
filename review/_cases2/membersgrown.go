package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

const (
	// earlierMachines is the number of machines that have come and gone. Each has saved its member record when its backend left.
	earlierMachines = 6_600
	recoveryTime    = 15 * time.Second
)

// runMembersGrown kills all processes of a deployment that many machines have been part of before, and starts them again.
func runMembersGrown(rec *record, dir string, trouble bool) (bool, error) {
	services := []string{"desk", "ledger", "dispatch", "vault", "tracker", "clerk"}
	g, err := newMesh(rec, dir, append(services, services...)...)
	if err != nil {
		return false, err
	}
	defer g.close()
	var routes []map[string]any
	for _, s := range services {
		routes = append(routes, route(s, "/"+s+"/", "idempotent", s, 2))
	}
	if err := g.configure("r1", routes, services...); err != nil {
		return false, err
	}
	if err := g.startAll(); err != nil {
		return false, err
	}
	c := &clients{rec: rec}
	stop := make(chan struct{})
	for _, m := range g.machines {
		for _, s := range services {
			go c.load(m, 3, stop, http.MethodGet, "/"+s+"/1", "", 2*time.Second)
		}
	}
	time.Sleep(contactTime + 2*time.Second)
	if err := g.saveEarlierMembers(); err != nil {
		return false, err
	}
	rec.add("store: holds the member records of %d machines that are gone", earlierMachines)
	time.Sleep(3 * time.Second)
	fault := time.Now()
	if trouble {
		for _, m := range g.machines {
			m.signal(syscall.SIGKILL)
		}
		rec.add("all processes killed")
		for _, m := range g.machines {
			<-m.exited
		}
		time.Sleep(restartDelay)
		for _, m := range g.machines {
			if err := m.start(); err != nil {
				return false, err
			}
		}
	}
	back := time.Now()
	time.Sleep(recoveryTime + 15*time.Second)
	close(stop)
	c.wait.Wait()

	share := func(from, to time.Time) (served, all int) {
		for _, r := range c.all {
			if r.sentAt.After(from) && r.sentAt.Before(to) {
				all++
				if r.status == http.StatusOK {
					served++
				}
			}
		}
		return served, all
	}
	before, allBefore := share(fault.Add(-3*time.Second), fault.Add(-200*time.Millisecond))
	after, allAfter := share(back.Add(recoveryTime), time.Now())
	rec.add("served before the fault: %d of %d; later than RecoveryS after the machines are back: %d of %d", before, allBefore, after, allAfter)
	fmt.Printf("served before the fault: %d of %d; later than RecoveryS after the machines are back: %d of %d\n", before, allBefore, after,
		allAfter)
	if allAfter == 0 || 4*before < allBefore {
		return false, fmt.Errorf("less than a quarter was served before the fault")
	}
	return 4*after < allAfter, nil
}

// saveEarlierMembers has the store hold what each of the earlier machines' nodes has saved with ConfigLog.SaveMember.
func (g *mesh) saveEarlierMembers() error {
	for i := range earlierMachines {
		host := fmt.Sprintf("127.%d.%d.%d", 200+i>>16, i>>8&0xff, i&0xff)
		m := &schema.Member{Node: fmt.Sprintf("sidecar-%s-%d", zones[i%len(zones)], 1000+i), Incarnation: uint64(time.Now().UnixMilli()),
			Process: uint64(i + 1), Zone: zones[i%len(zones)], Region: "guj-west", ControlAddress: host + ":18005",
			PeerAddress: host + ":18001", AdminAddress: host + ":18006", Service: "desk", Version: "v1", Slots: 9, Draining: true,
			UpstreamLeft: true, Instance: fmt.Sprintf("i-old-%d", i), InstanceUnixMs: time.Now().UnixMilli()}
		value, err := proto.Marshal(m)
		if err != nil {
			return err
		}
		g.store.Put("keyed.tamarackpitch", "node/"+m.Node, value)
	}
	return nil
}
