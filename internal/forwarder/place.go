package forwarder

import "github.com/tamarackpitch/tamarackpitch/internal/balancer"

// place is where one upstream runs: the address at which the node beside it takes calls. Several nodes of a routing snapshot
// may be at one place: the nodes of a VM before and after its replacement, until the earlier one is found dead. Their names
// then stand for one node and one upstream.
type place string

// offer is what a call is offered to: the upstream of a version at a place. A node refuses calls for a version that it does
// not have, so that a refused offer says nothing of another version at the same place.
type offer struct {
	place   place
	version string
}

// placeOf returns the place of an endpoint.
func (f *Forwarder) placeOf(e *balancer.Endpoint) place {
	if e.Node == f.common.Settings.Name {
		return f.place
	}
	return place(e.PeerAddress)
}

// isOwn reports whether an endpoint is at this node's own place, so that calls to it go to the local upstream.
func (f *Forwarder) isOwn(e *balancer.Endpoint) bool { return f.placeOf(e) == f.place }

// offerOf returns the offer of a call to an endpoint.
func (f *Forwarder) offerOf(e *balancer.Endpoint) offer {
	return offer{place: f.placeOf(e), version: e.Version}
}

// place returns the place of the upstream or the node that the attempt is sent to.
func (a *attempt) place() place {
	f := a.exchange.forwarder
	if a.local() {
		return f.place
	}
	return f.placeOf(a.endpoint)
}
