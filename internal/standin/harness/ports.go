package harness

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// Ports are taken from below the range of outgoing connections, which could take a port
// between its choice and its use.
const (
	firstPort = 10_000
	lastPort  = 32_000
	// portsPerProcess spreads the processes of this machine that choose ports at one time.
	portsPerProcess = 997
)

var nextPort atomic.Int64

func init() {
	nextPort.Store(int64(os.Getpid()) * portsPerProcess % (lastPort - firstPort))
}

// takeAddresses returns addresses that are free and are not given again by this process soon.
func takeAddresses(n int) ([]string, error) {
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
	return nil, errors.New("no free ports")
}
