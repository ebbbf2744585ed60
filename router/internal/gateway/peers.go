package gateway

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"

	"connectrpc.com/connect"
	"github.com/sourcegraph/conc"

	"cardamompulley/fleet/balancer"
	"cardamompulley/fleet/budgeter"
	"cardamompulley/fleet/messenger/messengerconnect"
	"cardamompulley/fleet/timekeeper"
)

const (
	// gossipInterval is the time between the gossip exchanges that this gateway starts, idleGossipInterval the time
	// while it has no running requests.
	gossipInterval     = 125 * timekeeper.Millis(1)
	idleGossipInterval = 2 * gossipInterval
	gossipTimeout      = 600 * timekeeper.Millis(1)
	// storeStartupWait is how long a new process waits for the store before it asks other gateways for copies of the ranges.
	storeStartupWait = 300 * timekeeper.Millis(1)
	// restoreNewsLifetime is how long a gateway tells others that the store was restored.
	restoreNewsLifetime = timekeeper.Minute
	// maxPlacements is the maximum number of placements in a full message, shortPlacements in a short one.
	maxPlacements   = 40
	shortPlacements = 12
	// compressMinBytes is the size from which answers are compressed: lists of changes of the store. Gossip consists of hashes.
	compressMinBytes = 1024
	// maxMessageBytes bounds a message of another gateway: copies of both ranges of the store.
	maxMessageBytes = 8 << 20
	// maxPeerHeadBytes bounds the head of an answer of another gateway.
	maxPeerHeadBytes = 64 << 10
	// maxReportBytes is the maximum size of the load reports in one message.
	maxReportBytes = 140
	// maxSuspectBytes is the maximum size of the suspects in a full message, shortSuspectBytes in a short one.
	maxSuspectBytes   = 320
	shortSuspectBytes = 80
	// maxLimits is the maximum number of notices of endpoints' limits in one message.
	maxLimits = 12
	// maxAddresses is the maximum number of gateway addresses in one message. maxNewcomerAddresses replaces it when the
	// receiver knows fewer gateways than this one. Successive messages go through the known addresses in turn.
	maxAddresses         = 1
	maxNewcomerAddresses = 24
)

// peers holds the other gateways that this one knows and gossips with them; it serves the RPC service Gateway.
type peers struct {
	gateway    *Gateway
	httpClient *http.Client

	mu            sync.Mutex
	byAddress     map[string]*peer
	selector      *peerSelector
	addressCursor int
	clients       map[string]messengerconnect.GatewayClient
	// isCopying is true while an exchange that asks for copies of ranges is in progress.
	isCopying atomic.Bool
	budget    *gossipBudget
	// messageSize is the latest messageSize that the budget allows.
	messageSize atomic.Int32
	// originSender wakes the part that sends the origins of streams to other gateways.
	originSender originSender
}

// peer is the state kept for one other gateway.
type peer struct {
	// isUnreachable is true if the last exchange with the peer has failed.
	isUnreachable bool
	// nextPlacement is the number of the next placement to send to the peer.
	nextPlacement uint64
	// isBusy is true while an exchange started here is in progress.
	isBusy bool
	// knownGateways is the number of gateways that the peer has reported to know.
	knownGateways int
}

func newPeers(g *Gateway) *peers {
	p := &peers{
		gateway:      g,
		httpClient:   &http.Client{Transport: newPeerTransport(&g.controlTraffic)},
		byAddress:    map[string]*peer{},
		selector:     newPeerSelector(),
		clients:      map[string]messengerconnect.GatewayClient{},
		originSender: newOriginSender(),
		budget:       newGossipBudget(g.clock, g.log),
	}
	p.messageSize.Store(int32(messageFull))
	p.addPeers(g.settings.Seeds)

	return p
}

// handler serves the gossip exchanges that other gateways start.
func (p *peers) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(messengerconnect.NewGatewayHandler(p, connect.WithCompressMinBytes(compressMinBytes), connect.WithReadMaxBytes(maxMessageBytes)))

	return mux
}

// addPeers adds gateways by their addresses; known ones are kept as they are.
func (p *peers) addPeers(addresses []string) {
	var added []string
	p.gateway.forwarder.UpdateBalancer(func(b *balancer.Balancer, _ *budgeter.RetryBudget) {
		added = b.Membership.Add(addresses, p.gateway.clock.Now())
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range added {
		if _, ok := p.byAddress[a]; !ok && a != p.gateway.settings.PeerListen {
			p.byAddress[a] = &peer{}
			p.selector.add(a)
		}
	}
}

// removeStale drops gateways that no other gateway has named for a long time, except seeds.
func (p *peers) removeStale() {
	var stale []string
	p.gateway.forwarder.UpdateBalancer(func(b *balancer.Balancer, _ *budgeter.RetryBudget) {
		stale = b.Membership.RemoveExpired(p.gateway.clock.Now())
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range stale {
		if slices.Contains(p.gateway.settings.Seeds, a) {
			continue
		}
		delete(p.byAddress, a)
		delete(p.clients, a)
		p.selector.remove(a)
	}
}

// run starts gossip exchanges until the context ends.
func (p *peers) run(ctx context.Context) {
	var w conc.WaitGroup
	defer w.Wait()
	for timekeeper.Sleep(ctx, p.nextInterval()) {
		size := p.budget.next(p.gateway.controlTraffic.Total())
		p.messageSize.Store(int32(size))
		if size == messageNone {
			continue
		}
		if address := p.nextPeer(); address != "" {
			w.Go(func() { p.exchange(ctx, address) })
		}
	}
}

// nextInterval returns the time until the next exchange: a gateway without running requests has little to report,
// but one without a view may need copies.
func (p *peers) nextInterval() timekeeper.Millis {
	isBusy := false
	p.gateway.forwarder.UpdateBalancer(func(b *balancer.Balancer, _ *budgeter.RetryBudget) { isBusy = b.IsBusy() })
	if isBusy || p.gateway.view.Load() == nil {
		return gossipInterval
	}

	return idleGossipInterval
}

// areMessagesShort reports whether messages of gossip must be short. They are full until the budget is looked at first.
func (p *peers) areMessagesShort() bool {
	return messageSize(p.messageSize.Load()) != messageFull
}

// suspectBytes returns the maximum size of the suspects in one message.
func (p *peers) suspectBytes() int {
	if p.areMessagesShort() {
		return shortSuspectBytes
	}

	return maxSuspectBytes
}

// nextPeer returns the address of the gateway to start an exchange with and marks it busy. It returns an empty address if no
// gateway is known or an exchange with the next one is still in progress.
func (p *peers) nextPeer() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	address := p.selector.next()
	other, ok := p.byAddress[address]
	if !ok || other.isBusy {
		return ""
	}
	other.isBusy = true

	return address
}

// sameDomainReachable returns the gateways that are known to be in this gateway's failure domain and that answer.
func (p *peers) sameDomainReachable() []string {
	p.mu.Lock()
	defer p.mu.Unlock()

	return slices.DeleteFunc(p.selector.sameDomainGateways(), func(address string) bool {
		other, ok := p.byAddress[address]

		return !ok || other.isUnreachable
	})
}

func (p *peers) clientFor(address string) messengerconnect.GatewayClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.clients[address]
	if !ok {
		c = messengerconnect.NewGatewayClient(p.httpClient, "http://"+address, connect.WithReadMaxBytes(maxMessageBytes))
		p.clients[address] = c
	}

	return c
}
