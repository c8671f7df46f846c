package standin

import (
	"fmt"
	"net"
	"os"
	"sync"
)

// Ports gives out loopback ports below those that the kernel gives to outgoing connections, so that a
// port stays free while the box that had it is down.
type Ports struct {
	mu   sync.Mutex
	next int
}

const (
	firstPort = 10000
	lastPort  = 32000
)

// Take finds a port that is free for TCP and UDP alike, and gives it out once.
func (p *Ports) Take() (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.next == 0 { // processes at work beside each other begin apart
		p.next = firstPort + os.Getpid()*131%(lastPort-firstPort)
	}
	for range lastPort - firstPort {
		if p.next++; p.next >= lastPort {
			p.next = firstPort
		}
		addr := fmt.Sprintf("127.0.0.1:%d", p.next)
		if free(addr) {
			return addr, nil
		}
	}
	return "", fmt.Errorf("standin: no free port from %d to %d", firstPort, lastPort)
}

func free(addr string) bool {
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
