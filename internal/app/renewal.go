package app

import (
	"math/rand/v2"
	"net"

	"github.com/tamarackpitch/tamarackpitch/internal/requester"
)

// listenForRenewals listens on a free address of the range for renewals, drawn at random so that it is seldom that of an earlier
// process. Without one, upstreams that started before this process get calls later.
func (p *nodeProcess) listenForRenewals() {
	s := p.common.Settings
	addresses := s.RenewalAddresses()
	if s.FirstStart || p.dialect.handler == nil || len(addresses) == 0 {
		return
	}
	for _, i := range rand.Perm(len(addresses)) {
		if !isFree(addresses[i]) {
			continue
		}
		if _, err := requester.NewEngine(p.dialect.handler.RenewalHandler(), addresses[i]); err != nil {
			p.common.Logger.Warn("address for renewals not available", "address", addresses[i], "reason", err)
			return
		}
		p.dialect.handler.SetRenewalAddress(addresses[i])
		return
	}
	p.common.Logger.Warn("no address for renewals available", "renewal-listen", s.RenewalListen)
}

// isFree reports whether nothing listens on an address of this VM.
func isFree(address string) bool {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	return l.Close() == nil
}
