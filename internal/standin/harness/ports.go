package harness

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// Ports are allocated below the range that the kernel uses for outgoing connections, since one of those could
// occupy a port between its allocation and its use.
const (
	firstPort = 10_000
	lastPort  = 32_000
	// portsPerProcess is the distance between the first ports of processes with successive ids, so that harnesses
	// that run at the same time allocate different ports.
	portsPerProcess = 997
)

// nextPort counts allocations, from an offset that depends on the process id.
var nextPort atomic.Int64

func init() {
	nextPort.Store(int64(os.Getpid()) * portsPerProcess % (lastPort - firstPort))
}

// AllocateAddresses returns n loopback addresses with free ports. This process does not allocate a port again
// until it has tried the whole range.
func AllocateAddresses(n int) ([]string, error) {
	var addresses []string
	for range lastPort - firstPort {
		port := firstPort + nextPort.Add(1)%(lastPort-firstPort)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		if addresses = append(addresses, address); len(addresses) == n {
			return addresses, nil
		}
	}
	return nil, errors.New("not enough free ports on 127.0.0.1")
}
