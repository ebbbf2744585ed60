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
	"cardamompulley/fleet/exchanger"
	"cardamompulley/fleet/messenger/messengerconnect"
	"cardamompulley/fleet/timekeeper"
)

const (
	// tradeInterval is the time between the trades that a gateway starts, and idleTradeInterval while no request runs here.
	tradeInterval     = 125 * timekeeper.Millis(1)
	idleTradeInterval = 2 * tradeInterval
	tradeTimeout      = 600 * timekeeper.Millis(1)
	// controlBytes bounds the traffic with other gateways in a second, both directions together, as the users want it; trades
	// start later while it is used up. controlBurst is what an idle gateway may save up.
	controlBytes = 10_000
	controlBurst = controlBytes
	// mostCharged bounds what one interval is charged for, so that a copied range of the store does not end the trades.
	mostCharged = controlBytes / 2
	// storePatience is how long a new process leaves its first reads to the store.
	storePatience = 300 * timekeeper.Millis(1)
	// maxPlacements bounds the placements of one message.
	maxPlacements = 40
	// loadBytes bounds the loads told in one message.
	loadBytes = 140
	// maxNames bounds the gateways named in one message to one that knows as many, and newcomerNames to one that knows
	// fewer; each message names the next ones.
	maxNames      = 1
	newcomerNames = 24
)

// peers knows the other gateways and trades with them.
type peers struct {
	g      *Gateway
	client *http.Client

	mu      sync.Mutex
	known   map[string]*peer
	turns   *turns
	named   int
	clients map[string]messengerconnect.GatewayClient
	// copying is true while another gateway is asked for copies of ranges.
	copying atomic.Bool
	// budget bounds the traffic; counted is what it has been charged for.
	budget  *exchanger.ByteBudget
	counted int64
}

type peer struct {
	lost bool
	// told is the number of the next placement to tell the gateway.
	told uint64
	// busy is true while a trade with the gateway is under way.
	busy bool
	// knows is the number of gateways that it has said to know.
	knows int
}

func newPeers(g *Gateway) *peers {
	p := &peers{
		g:       g,
		client:  &http.Client{Transport: newPeerTransport(&g.control)},
		known:   map[string]*peer{},
		turns:   newTurns(),
		clients: map[string]messengerconnect.GatewayClient{},
		budget:  exchanger.NewByteBudget(controlBytes, controlBurst, g.clock.Now()),
	}
	p.meet(g.settings.Seeds)

	return p
}

// handler serves the trades of other gateways.
func (p *peers) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(messengerconnect.NewGatewayHandler(p, connect.WithCompression("gzip", nil, nil)))

	return mux
}

// meet learns the addresses of gateways.
func (p *peers) meet(addresses []string) {
	var fresh []string
	p.g.forward.Update(func(b *balancer.Balancer, _ *budgeter.Retries) {
		fresh = b.Roster.Meet(addresses, p.g.clock.Now())
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range fresh {
		if _, ok := p.known[a]; !ok && a != p.g.settings.PeerListen {
			p.known[a] = &peer{}
			p.turns.add(a)
		}
	}
}

// forget drops gateways that nobody has named for long; seeds are asked on.
func (p *peers) forget() {
	var gone []string
	p.g.forward.Update(func(b *balancer.Balancer, _ *budgeter.Retries) {
		gone = b.Roster.Forget(p.g.clock.Now())
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range gone {
		if slices.Contains(p.g.settings.Seeds, a) {
			continue
		}
		delete(p.known, a)
		delete(p.clients, a)
		p.turns.drop(a)
	}
}

func (p *peers) run(ctx context.Context) {
	var w conc.WaitGroup
	defer w.Wait()
	for timekeeper.Sleep(ctx, p.interval()) {
		if !p.affords() {
			continue
		}
		if address := p.turn(); address != "" {
			w.Go(func() { p.trade(ctx, address) })
		}
	}
}

// interval returns the time to the next trade: a gateway without requests has little to tell.
func (p *peers) interval() timekeeper.Millis {
	busy := false
	p.g.forward.Update(func(b *balancer.Balancer, _ *budgeter.Retries) { busy = b.Busy() })
	if busy {
		return tradeInterval
	}

	return idleTradeInterval
}

// affords tells whether the traffic so far leaves room for another trade.
func (p *peers) affords() bool {
	total, now := p.g.control.Total(), p.g.clock.Now()
	p.budget.Spend(int(min(total-p.counted, mostCharged)), now)
	p.counted = total

	return p.budget.CanSpend(now)
}

// turn returns the gateway to ask next, or none while a trade with it is still under way.
func (p *peers) turn() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	address := p.turns.next()
	k, ok := p.known[address]
	if !ok || k.busy {
		return ""
	}
	k.busy = true

	return address
}

func (p *peers) clientOf(address string) messengerconnect.GatewayClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.clients[address]
	if !ok {
		c = messengerconnect.NewGatewayClient(p.client, "http://"+address, connect.WithAcceptCompression("gzip", nil, nil))
		p.clients[address] = c
	}

	return c
}
