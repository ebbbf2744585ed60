package gateway

import (
	"context"
	"net/http"
	"slices"
	"sync"

	"connectrpc.com/connect"
	"github.com/sourcegraph/conc"

	"cardamompulley/fleet/balancer"
	"cardamompulley/fleet/budgeter"
	"cardamompulley/fleet/locator"
	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/messenger"
	"cardamompulley/fleet/messenger/messengerconnect"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/quarantiner"
	"cardamompulley/fleet/replicator"
	"cardamompulley/fleet/timekeeper"
)

const (
	tradeInterval = 250 * timekeeper.Millis(1)
	tradeTimeout  = 600 * timekeeper.Millis(1)
	// tradesAtOnce is the number of gateways asked in one interval.
	tradesAtOnce = 1
	// maxPlacements bounds the placements of one trade.
	maxPlacements = 64
	// maxNames bounds the gateways named in one trade; each trade names the next ones.
	maxNames = 4
)

// peers knows the other gateways and trades with them.
type peers struct {
	g      *Gateway
	client *http.Client

	mu      sync.Mutex
	known   map[string]*peer
	order   []string
	next    int
	named   int
	clients map[string]messengerconnect.GatewayClient
}

type peer struct {
	lost bool
	// told is the number of the next placement to tell the gateway.
	told uint64
	// busy is true while a trade with the gateway is under way.
	busy bool
}

func newPeers(g *Gateway) *peers {
	p := &peers{
		g:       g,
		client:  &http.Client{Transport: &http.Transport{DialContext: g.control.Dial, MaxIdleConnsPerHost: 1}},
		known:   map[string]*peer{},
		clients: map[string]messengerconnect.GatewayClient{},
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
			p.order = append(p.order, a)
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
		p.order = slices.DeleteFunc(p.order, func(o string) bool { return o == a })
	}
}

func (p *peers) run(ctx context.Context) {
	var w conc.WaitGroup
	defer w.Wait()
	for timekeeper.Pause(ctx, tradeInterval) {
		for _, address := range p.turn() {
			w.Go(func() { p.trade(ctx, address) })
		}
	}
}

// turn returns the gateways to ask next, each in its turn.
func (p *peers) turn() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var chosen []string
	for range min(tradesAtOnce, len(p.order)) {
		address := p.order[p.next%len(p.order)]
		p.next++
		if k := p.known[address]; !k.busy {
			k.busy = true
			chosen = append(chosen, address)
		}
	}

	return chosen
}

func (p *peers) trade(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, tradeTimeout.Duration())
	defer cancel()
	request := p.request()
	placements, next := p.placementsFor(address)
	request.Placements = placements
	response, err := p.clientOf(address).Trade(ctx, request)
	p.note(address, err)
	if err != nil {
		return
	}
	p.told(address, next)
	p.learn(response.News)
	p.learnPlacements(response.Placements)
	p.takeCopy(p.g.operator, "operator", response.Operator)
	p.takeCopy(p.g.endpoints, "endpoints", response.Endpoints)
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

// note logs when a gateway is lost or regained.
func (p *peers) note(address string, err error) {
	p.mu.Lock()
	k, ok := p.known[address]
	if !ok {
		p.mu.Unlock()

		return
	}
	changed := k.lost != (err != nil)
	k.lost = err != nil
	k.busy = false
	p.mu.Unlock()
	if !changed {
		return
	}
	if err != nil {
		p.g.log.Write(logger.EventGatewayLost, logger.String("gateway", address), logger.Err(err))
	} else {
		p.g.log.Write(logger.EventGatewayRegained, logger.String("gateway", address))
	}
}

func (p *peers) request() *messenger.TradeRequest {
	p.g.mu.Lock()
	defer p.g.mu.Unlock()

	return &messenger.TradeRequest{
		News:      p.news(),
		Operator:  p.stateOf(p.g.operator),
		Endpoints: p.stateOf(p.g.endpoints),
	}
}

// placementsFor returns what another gateway has not been told, and the number of the next placement to tell.
func (p *peers) placementsFor(address string) ([]*messenger.Placement, uint64) {
	p.mu.Lock()
	from := uint64(0)
	if k, ok := p.known[address]; ok {
		from = k.told
	}
	p.mu.Unlock()
	var fresh []locator.Placement
	next := from
	p.g.forward.Update(func(b *balancer.Balancer, _ *budgeter.Retries) {
		fresh, next = b.Journal.Since(from, maxPlacements)
	})
	placements := make([]*messenger.Placement, 0, len(fresh))
	for _, f := range fresh {
		placements = append(placements, &messenger.Placement{Part: f.Part, Endpoint: string(f.Endpoint)})
	}

	return placements, next
}

func (p *peers) told(address string, next uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if k, ok := p.known[address]; ok {
		k.told = max(k.told, next)
	}
}

func (p *peers) learnPlacements(told []*messenger.Placement) {
	if len(told) == 0 {
		return
	}
	placements := make([]locator.Placement, 0, len(told))
	for _, t := range told {
		placements = append(placements, locator.Placement{Part: t.Part, Endpoint: model.EndpointID(t.Endpoint)})
	}
	p.g.forward.Update(func(b *balancer.Balancer, _ *budgeter.Retries) { b.Learn(placements, p.g.clock.Now()) })
}

// stateOf tells how far a range is followed; the caller holds the gateway's lock.
func (p *peers) stateOf(r *replicator.Replica) *messenger.RangeState {
	return &messenger.RangeState{
		AsOf:    r.AsOf(),
		Content: r.Content(),
		Synced:  r.Synced(),
		Wanted:  p.g.lost[r] || !r.Synced(),
	}
}

// news is what this gateway says of itself; the caller holds the gateway's lock.
func (p *peers) news() *messenger.GatewayNews {
	news := &messenger.GatewayNews{Address: p.g.settings.PeerListen, StoreSilenceMs: -1}
	if heard := p.g.endpoints.Heard(); heard > 0 {
		news.StoreSilenceMs = int64(p.g.clock.Now() - heard)
	}
	p.g.forward.Update(func(b *balancer.Balancer, _ *budgeter.Retries) {
		news.Gateways = p.nextNames(b.Roster.Vouched(p.g.clock.Now()))
		for id, n := range b.Running() {
			news.Uses = append(news.Uses, &messenger.EndpointUse{Endpoint: string(id), Running: uint32(n)})
		}
	})
	p.g.forward.Marks(func(r *quarantiner.Register) {
		for _, m := range r.Share(p.g.clock.Now()) {
			news.Marks = append(news.Marks, &messenger.CrashMark{
				Fingerprint: uint64(m.Fingerprint), Crashes: uint32(m.Crashes), ExpiresInMs: int64(m.ExpiresIn),
			})
		}
	})

	return news
}

// nextNames returns the part of the known gateways whose turn it is.
func (p *peers) nextNames(known []string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	names := make([]string, 0, maxNames)
	for range min(maxNames, len(known)) {
		names = append(names, known[p.named%len(known)])
		p.named++
	}

	return names
}

// learn takes what another gateway says of itself.
func (p *peers) learn(news *messenger.GatewayNews) {
	if news == nil || news.Address == p.g.settings.PeerListen {
		return
	}
	p.meet(append(news.Gateways, news.Address))
	if news.StoreSilenceMs >= 0 {
		p.g.mu.Lock()
		p.g.endpoints.HeardElsewhere(p.g.clock.Now() - timekeeper.Millis(news.StoreSilenceMs))
		p.g.mu.Unlock()
	}
	running := make(map[model.EndpointID]int, len(news.Uses))
	for _, u := range news.Uses {
		running[model.EndpointID(u.Endpoint)] = int(u.Running)
	}
	p.g.forward.Update(func(b *balancer.Balancer, _ *budgeter.Retries) {
		b.Report(news.Address, running, p.g.clock.Now())
		b.Roster.Traded(news.Address, p.g.clock.Now())
	})
	p.g.forward.Marks(func(r *quarantiner.Register) {
		for _, m := range news.Marks {
			r.Learn(quarantiner.Mark{
				Fingerprint: model.Fingerprint(m.Fingerprint),
				Crashes:     int(m.Crashes),
				ExpiresIn:   timekeeper.Millis(m.ExpiresInMs),
			}, p.g.clock.Now())
		}
	})
}

// Trade answers another gateway.
func (p *peers) Trade(_ context.Context, r *messenger.TradeRequest) (*messenger.TradeResponse, error) {
	p.learn(r.News)
	p.learnPlacements(r.Placements)
	placements, next := p.placementsFor(r.News.GetAddress())
	p.told(r.News.GetAddress(), next)
	p.g.mu.Lock()
	defer p.g.mu.Unlock()

	return &messenger.TradeResponse{
		News:       p.news(),
		Operator:   copyFor(r.Operator, p.g.operator),
		Endpoints:  copyFor(r.Endpoints, p.g.endpoints),
		Placements: placements,
	}, nil
}

// copyFor returns what the other side lacks of a range that it cannot follow at the store: the changes, or all of it.
func copyFor(theirs *messenger.RangeState, r *replicator.Replica) *messenger.RangeCopy {
	if !r.Synced() || !theirs.GetWanted() {
		return nil
	}
	if theirs.GetSynced() && (r.AsOf() <= theirs.GetAsOf() || r.Content() <= theirs.GetContent()) {
		return nil
	}
	items, changes := r.Since(theirs.GetAsOf())
	if !theirs.GetSynced() || !changes {
		items, changes = r.Copy(), false
	}
	c := &messenger.RangeCopy{AsOf: r.AsOf(), Changes: changes}
	for _, item := range items {
		c.Items = append(c.Items, &messenger.StoredItem{
			Key: item.Key, Value: item.Value, Revision: item.Revision, Deleted: item.Deleted,
		})
	}

	return c
}

func (p *peers) takeCopy(r *replicator.Replica, name string, c *messenger.RangeCopy) {
	if c == nil {
		return
	}
	items := make([]replicator.Item, 0, len(c.Items))
	for _, item := range c.Items {
		items = append(items, replicator.Item{
			Key: item.Key, Value: item.Value, Revision: item.Revision, Deleted: item.Deleted,
		})
	}
	p.g.take("peer "+name, r, func(now timekeeper.Millis) bool {
		if c.Changes {
			return r.Apply(items, c.AsOf, now)
		}

		return r.Replace(items, c.AsOf, now)
	})
}
