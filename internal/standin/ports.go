package standin

import (
	"fmt"
	"net"
	"os"
	"sync"
)

// PortAllocator allocates loopback ports below the kernel's ephemeral range, so that no outgoing connection
// takes the port of a box that is down.
type PortAllocator struct {
	mu        sync.Mutex
	lastTried int
}

const (
	firstPort = 10000
	lastPort  = 32000
)

// Allocate returns the address of a port that is free for both TCP and UDP. It cycles through the range, so that a port
// is not returned again until all others were tried.
func (p *PortAllocator) Allocate() (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lastTried == 0 { // concurrent processes start at different ports
		p.lastTried = firstPort + os.Getpid()*131%(lastPort-firstPort)
	}
	for range lastPort - firstPort {
		if p.lastTried++; p.lastTried >= lastPort {
			p.lastTried = firstPort
		}
		addr := fmt.Sprintf("127.0.0.1:%d", p.lastTried)
		if isFree(addr) {
			return addr, nil
		}
	}
	return "", fmt.Errorf("standin: no free port from %d to %d", firstPort, lastPort)
}

// isFree reports whether an address can be bound for both TCP and UDP.
func isFree(addr string) bool {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return false
	}
	_ = l.Close()
	c, err := net.ListenPacket("udp", addr)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}
