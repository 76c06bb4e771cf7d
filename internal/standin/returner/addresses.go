package returner

import "net"

// nodeHost is the host of the nodes' addresses. Other programs on this machine use 127.0.0.1, so that none of them gets the
// address of a node that has ended and that the others still dial.
const nodeHost = "127.0.3.1"

// allocateAddresses returns n different addresses that nothing listens on.
func allocateAddresses(n int) ([]string, error) {
	addresses := make([]string, n)
	for i := range addresses {
		l, err := net.Listen("tcp", nodeHost+":0")
		if err != nil {
			return nil, err
		}
		// All listeners stay open until the last address is known.
		defer func() { _ = l.Close() }()
		addresses[i] = l.Addr().String()
	}
	return addresses, nil
}
