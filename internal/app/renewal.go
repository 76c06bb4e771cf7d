package app

import (
	"math/rand/v2"

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
		if _, err := requester.NewEngine(p.dialect.handler.RenewalHandler(), addresses[i]); err != nil {
			p.common.Logger.Debug("address for renewals not available", "address", addresses[i], "reason", err)
			continue
		}
		p.dialect.handler.SetRenewalAddress(addresses[i])
		return
	}
	p.common.Logger.Warn("no address for renewals available", "renewal-listen", s.RenewalListen)
}
