package settings

import (
	"net/netip"
	"strings"
)

// RenewalAddresses returns the addresses from the first to the last of RenewalListen, or none.
func (n *Node) RenewalAddresses() []string {
	if len(n.RenewalListen) == 0 {
		return nil
	}
	first, errFirst := netip.ParseAddrPort(n.RenewalListen[0])
	last, errLast := netip.ParseAddrPort(n.RenewalListen[len(n.RenewalListen)-1])
	if errFirst != nil || errLast != nil || first.Addr() != last.Addr() {
		return nil
	}
	var addresses []string
	for port := int(first.Port()); port <= int(last.Port()); port++ {
		addresses = append(addresses, netip.AddrPortFrom(first.Addr(), uint16(port)).String())
	}
	return addresses
}

// checkRenewalRange checks that RenewalListen is empty or names a range of addresses.
func (n *Node) checkRenewalRange() error {
	if len(n.RenewalListen) == 0 || len(n.RenewalListen) == 2 && len(n.RenewalAddresses()) > 0 {
		return nil
	}
	return settingError("renewal-listen", strings.Join(n.RenewalListen, ","), "two addresses IP:port, the first and the last of a range")
}
