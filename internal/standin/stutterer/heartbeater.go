package stutterer

import (
	"net/http"
	"time"

	"github.com/tamarackpitch/tamarackpitch/platform/standin"
)

const (
	heartbeatInterval = 500 * time.Millisecond
	heartbeatTimeout  = time.Second
	// lateHeartbeats is how many heartbeats of an upstream that has left arrive late.
	lateHeartbeats = 2
)

// loop sends heartbeats to the node until the upstream ends or leaves.
func (u *upstream) loop() {
	defer func() { u.done <- struct{}{} }()
	address := u.vm.heartbeat
	for {
		address = u.announce(u.nextHeartbeat(), address)
		select {
		case <-u.stop:
			return
		case <-u.silent:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

func (u *upstream) nextHeartbeat() standin.Heartbeat {
	return standin.Heartbeat{ID: u.id, Address: u.vm.upstreamAddress, Service: u.service, Version: "v1", Zone: u.vm.zone,
		Slots: slots, Sequence: u.sequence.Add(1), Born: u.born}
}

// announce sends a heartbeat to an address and returns that of the next one, which makes up for this one if it fails.
func (u *upstream) announce(h standin.Heartbeat, address string) string {
	request, err := h.Request(address)
	if err != nil {
		return u.vm.heartbeat
	}
	client := &http.Client{Timeout: heartbeatTimeout}
	response, err := client.Do(request)
	if err != nil {
		return u.vm.heartbeat
	}
	defer func() { _ = response.Body.Close() }()
	next, err := standin.NextAddress(response.Body, address)
	if err != nil || response.StatusCode != http.StatusOK {
		return u.vm.heartbeat
	}
	return next
}

// sendLate sends a heartbeat from before the upstream has left.
func (u *upstream) sendLate(h standin.Heartbeat) { u.announce(h, u.vm.heartbeat) }

// withdraw has the upstream leave, though it goes on to serve. It returns the heartbeats that were sent before and have not arrived, or
// nil if the leave is not acknowledged.
func (u *upstream) withdraw() []standin.Heartbeat {
	close(u.silent)
	var late []standin.Heartbeat
	for range lateHeartbeats {
		late = append(late, u.nextHeartbeat())
	}
	request, err := late[0].LeaveRequest(u.vm.heartbeat)
	if err != nil {
		return nil
	}
	client := &http.Client{Timeout: heartbeatTimeout}
	response, err := client.Do(request)
	if err != nil {
		return nil
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil
	}
	u.vm.soak.ledger.count("leaves-acknowledged")
	return late
}

// setRunsUntil sets until when requests may be run.
func (u *upstream) setRunsUntil(t time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runsUntil = t
}

// mayRun reports whether a request may be run now.
func (u *upstream) mayRun() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runsUntil.IsZero() || time.Now().Before(u.runsUntil)
}
