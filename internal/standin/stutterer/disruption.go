package stutterer

import (
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/standin/harness"
)

// kind is a kind of disruption.
type kind int

// Kinds.
const (
	killNode kind = iota
	terminateNode
	resetConns
	endUpstream
	// replaceVM gives the addresses of a VM to another VM, of another service.
	replaceVM
	// loseLeave has the upstream leave, and all nodes killed right after its node has acknowledged that. Heartbeats from before the
	// leave arrive late.
	loseLeave
	kinds
)

func (k kind) String() string {
	return [...]string{"kill node", "terminate node", "reset connections", "end upstream", "replace VM", "lose leave"}[k]
}

const (
	// addressReuse is the time after which addresses are used again, and maxOutage the longest time without a process.
	addressReuse = time.Second
	maxOutage    = 3 * time.Second
	// contactTime is the time after its start from which a node is held to what its earlier process has acknowledged, and drainTime
	// that after the acknowledgement of a leave.
	contactTime = 3 * time.Second
	drainTime   = 2 * time.Second
	// leftTime is how long an upstream that has left is watched from then on.
	leftTime = 2 * time.Second
	// terminateTimeout exceeds the time that nodes take to end.
	terminateTimeout = 20 * time.Second
)

// disruption is a disruption of a VM.
type disruption struct {
	vm     *vm
	kind   kind
	outage time.Duration
	// service is the service of a VM that is replaced.
	service string
}

// carryOut carries the disruption out and waits until the node is ready again.
func (d *disruption) carryOut() error {
	v := d.vm
	if !v.node.Running() || v.upstream == nil {
		return &Error{Operation: "disrupt", Detail: v.node.Name + " or its upstream has ended by itself"}
	}
	v.setCalm(false)
	err := d.act()
	v.setCalm(true)
	if err == nil && !harness.WaitUntil(readyTimeout, v.isReady) {
		err = &Error{Operation: "disrupt", Detail: v.node.Name + " does not get ready"}
	}
	return err
}

// act does what the disruption consists of.
func (d *disruption) act() error {
	v := d.vm
	switch d.kind {
	case killNode:
		v.node.Kill()
		time.Sleep(d.outage)
		return v.restart()
	case terminateNode:
		if !v.node.Terminate(terminateTimeout) {
			return &Error{Operation: "disrupt", Detail: v.node.Name + " does not end at SIGTERM"}
		}
		return v.restart()
	case resetConns:
		v.upstream.resetConns()
	case endUpstream:
		v.endUpstream()
		time.Sleep(d.outage)
		return v.startUpstream()
	case loseLeave:
		return d.loseLeave()
	case replaceVM:
		v.endUpstream()
		v.node.Kill()
		time.Sleep(max(d.outage, addressReuse))
		return v.start(d.service)
	}
	return nil
}

// loseLeave carries out a disruption of that kind. A leave that is not acknowledged binds nobody.
func (d *disruption) loseLeave() error {
	v, u := d.vm, d.vm.upstream
	late := u.withdraw()
	acknowledged := time.Now()
	if err := v.soak.restartNodes(d.outage / 2); err != nil {
		return err
	}
	if late != nil {
		bound := time.Now().Add(contactTime)
		if drained := acknowledged.Add(drainTime); drained.After(bound) {
			bound = drained
		}
		u.setRunsUntil(bound)
		for i, h := range late {
			time.Sleep(d.outage / time.Duration(i+2))
			u.sendLate(h)
		}
		time.Sleep(time.Until(bound.Add(leftTime)))
	}
	v.endUpstream()
	return v.startUpstream()
}
