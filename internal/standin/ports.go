package standin

import (
	"fmt"
	"net"
	"os"
	"sync"
)

// Ports gives out loopback ports below those that the kernel gives to outgoing connections, so that a
// port stays free while the box that had it is down.
type PortAllocator struct {
	mu        sync.Mutex
	lastTried int
}

const (
	firstPort = 10000
	lastPort  = 32000
)

// Take finds a port that is free for TCP and UDP alike, and gives it out once.
func (p *PortAllocator) Allocate() (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lastTried == 0 { // processes at work beside each other begin apart
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
