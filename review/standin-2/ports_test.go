package standin2

import (
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
)

// Listeners take ports below the range that systems use for outgoing connections, so that none is taken while a process is down. Each
// process of the stand-ins takes them from a block of its own, whose first port it keeps, and gives each out once, so that the address of
// a process that is down, or has not started yet, is not given to another.
const (
	firstPort     = 20000
	portsPerBlock = 100
	portBlocks    = 120
)

// All listeners are at the loopback address; anyPort is the address for one at a free port.
const (
	loopback = "127.0.0.1"
	anyPort  = loopback + ":0"
)

// portBlock is the block of ports of this process. Its zero value has no block yet.
type portBlock struct {
	mu sync.Mutex
	// lock listens at the block's first port.
	lock net.Listener
	// next is the next port to be given out, end the first one that is not in the block.
	next, end int
}

var ownPorts portBlock

// listenAt opens a listener at a port.
func listenAt(port int) (net.Listener, error) {
	return net.Listen("tcp", net.JoinHostPort(loopback, strconv.Itoa(port)))
}

// take chooses a block whose first port is free.
func (b *portBlock) take() {
	for _, n := range rand.Perm(portBlocks) {
		first := firstPort + n*portsPerBlock
		if l, err := listenAt(first); err == nil {
			b.lock, b.next, b.end = l, first+1, first+portsPerBlock

			return
		}
	}
	cannotRun("all blocks of ports are taken")
}

// listen opens a listener at the next free port of the block.
func (b *portBlock) listen() net.Listener {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lock == nil {
		b.take()
	}
	for b.next < b.end {
		b.next++
		if l, err := listenAt(b.next - 1); err == nil {
			return l
		}
	}
	cannotRun("the block of ports is used up")

	return nil
}

// listen opens a listener, at a free port if the address names port 0, or ends the process.
func listen(address string) net.Listener {
	if address == anyPort {
		return ownPorts.listen()
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		cannotRun("listen on %s: %v", address, err)
	}

	return l
}
