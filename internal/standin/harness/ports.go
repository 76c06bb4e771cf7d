package harness

import (
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

// loopback returns the loopback address of a process. Processes that run at the same time have different ones, so that a node
// never reaches a node of another harness at an address that one of its own had before.
func loopback(pid int) string {
	// Process ids have at most 22 bits.
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>16, pid>>8&0xff, pid&0xff)
}

// AllocateAddresses returns n loopback addresses with free ports. This process does not allocate a port again
// until it has tried the whole range.
func AllocateAddresses(n int) ([]string, error) {
	host := loopback(os.Getpid())
	var addresses []string
	for range lastPort - firstPort {
		port := firstPort + nextPort.Add(1)%(lastPort-firstPort)
		address := fmt.Sprintf("%s:%d", host, port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		if addresses = append(addresses, address); len(addresses) == n {
			return addresses, nil
		}
	}
	return nil, fmt.Errorf("not enough free ports on %s", host)
}
