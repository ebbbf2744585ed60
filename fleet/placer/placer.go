package placer

import (
	"cardamompulley/fleet/exchanger"
	"cardamompulley/fleet/model"
)

// NoMember is returned in place of a member index when no member matches.
const NoMember = -1

const (
	// Penalties of the cost of a member, in running requests: another failure domain, a cold start, a queue of waiting
	// requests.
	crossDomainPenalty = 1
	coldPenalty        = 4
	queuePenalty       = 64
	maxExcluded        = 8
	// minOutageBound is the lowest load limit while members are unavailable, as a multiple of the mean load of the
	// available ones.
	minOutageBound = 1.1
)

// Reason is the reason for a choice, as shown by the explain page.
type Reason string

// Reasons for a choice. ReasonHolder is an endpoint that holds the prefix of the chat, ReasonSpillover the least loaded
// candidate when the home or the holders cannot take the request.
const (
	ReasonHint      Reason = "hint"
	ReasonHome      Reason = "home"
	ReasonHolder    Reason = "holder"
	ReasonFirstTurn Reason = "first-turn"
	ReasonSpillover Reason = "spill"
	ReasonNone      Reason = "none"
)

// Choice is the chosen member, as an index into Group.Members. BypassesHome means that the home of the chat need
// not be asked; the wire protocol calls it placed.
type Choice struct {
	Member       int
	Reason       Reason
	BypassesHome bool
}

// Exclusions is the set of members that have refused a request. It holds up to maxExcluded members and ignores further
// ones.
type Exclusions struct {
	members [maxExcluded]int
	count   int
}

// Add excludes a member.
func (e *Exclusions) Add(member int) {
	if e.count < maxExcluded {
		e.members[e.count] = member
		e.count++
	}
}

// Has reports whether a member is excluded.
func (e *Exclusions) Has(member int) bool {
	for i := range e.count {
		if e.members[i] == member {
			return true
		}
	}

	return false
}

// Request holds the inputs of a placement. Hint is the index of the member that the caller prefers, or NoMember.
type Request struct {
	Chat        model.ChatKey
	IsFirstTurn bool
	Hint        int
	Excluded    Exclusions
}

// Placer chooses members on the basis of the loads known to one process.
type Placer struct {
	// IsBlocked reports whether the circuit breaker of this process blocks the endpoint at an index of the
	// configuration. If it is nil, no endpoint is blocked.
	IsBlocked func(index int) bool

	domain model.DomainID
	table  *exchanger.Table
}

// NewPlacer returns a placer for a process in a failure domain.
func NewPlacer(domain model.DomainID, table *exchanger.Table) *Placer {
	return &Placer{domain: domain, table: table}
}

// ranking holds the first available members of a home order, best first, and the load of the group.
type ranking struct {
	members [MaxCandidates]int
	scores  [MaxCandidates]float64
	count   int
	load    groupLoad
}

// groupLoad is the number of requests running on the available members, and the number of available and declared
// members.
type groupLoad struct {
	running   int
	available int
	declared  int
}

func (l groupLoad) mean() float64 {
	return float64(l.running) / float64(max(l.available, 1))
}

// IsEligible reports whether a member is available for new work and not excluded.
func (p *Placer) IsEligible(g *Group, member int, excluded *Exclusions) bool {
	m := &g.Members[member]

	return p.isAvailable(m, p.table.Get(m.Index).State) && !excluded.Has(member)
}

// isAvailable reports whether a member in a state accepts new work.
func (p *Placer) isAvailable(m *Member, state exchanger.State) bool {
	if !m.isEnabled || state == exchanger.StateDraining || state == exchanger.StateDown {
		return false
	}

	return p.IsBlocked == nil || !p.IsBlocked(m.Index)
}

// rank ranks the members that are available and not excluded. It allocates nothing.
func (p *Placer) rank(g *Group, chat model.ChatKey, excluded *Exclusions) ranking {
	var r ranking
	r.load.declared = len(g.Members)
	for i := range g.Members {
		m := &g.Members[i]
		l := p.table.Get(m.Index)
		if !p.isAvailable(m, l.State) || excluded.Has(i) {
			continue
		}
		r.load.running += l.Running
		r.load.available++
		r.insert(i, g.score(m, chat))
	}

	return r
}

func (r *ranking) insert(member int, score float64) {
	if r.count == MaxCandidates && score <= r.scores[MaxCandidates-1] {
		return
	}
	i := min(r.count, MaxCandidates-1)
	for i > 0 && r.scores[i-1] < score {
		r.members[i] = r.members[i-1]
		r.scores[i] = r.scores[i-1]
		i--
	}
	r.members[i] = member
	r.scores[i] = score
	r.count = min(r.count+1, MaxCandidates)
}

func (p *Placer) running(g *Group, member int) int {
	return p.table.Get(g.Members[member].Index).Running
}

// cost is the number of running requests plus penalties for another failure domain, a cold start and queued requests.
func (p *Placer) cost(g *Group, member int) int {
	cost := p.running(g, member)
	if g.Members[member].Domain != p.domain {
		cost += crossDomainPenalty
	}
	switch p.table.Get(g.Members[member].Index).State {
	case exchanger.StateCold:
		cost += coldPenalty
	case exchanger.StateFull:
		cost += queuePenalty
	default:
	}

	return cost
}

func (p *Placer) groupLoad(g *Group) groupLoad {
	l := groupLoad{declared: len(g.Members)}
	for i := range g.Members {
		m := &g.Members[i]
		load := p.table.Get(m.Index)
		if p.isAvailable(m, load.State) {
			l.running += load.Running
			l.available++
		}
	}

	return l
}

// MeanLoad returns the mean number of running requests per available member.
func (p *Placer) MeanLoad(g *Group) float64 {
	return p.groupLoad(g).mean()
}

// LoadLimit returns the number of running requests at which a member receives no more work.
func (p *Placer) LoadLimit(g *Group) int {
	return g.loadLimit(p.groupLoad(g))
}

// loadLimit applies the admission bound to the mean over all declared members, with unavailable ones counted as idle. When
// they return, the mean drops at once, and the load is then still within the declared bound. The limit never falls below
// the mean of the available members times minOutageBound or AdmissionBound, whichever is lower. Adding one lets equally
// loaded members each accept another request.
func (g *Group) loadLimit(l groupLoad) int {
	declaredMean := float64(l.running) / float64(max(l.declared, 1))

	return max(g.LoadFloor, int(max(g.AdmissionBound*declaredMean, min(g.AdmissionBound, minOutageBound)*l.mean()))+1)
}

// Choose makes the choice of a router: the hinted member if it is below the load limit, the least loaded candidate for a
// first turn or after a refusal, and otherwise the home of the chat.
func (p *Placer) Choose(g *Group, r *Request) Choice {
	ranked := p.rank(g, r.Chat, &r.Excluded)
	if ranked.count == 0 {
		return Choice{Member: NoMember, Reason: ReasonNone}
	}
	limit := g.loadLimit(ranked.load)
	if r.Hint != NoMember && p.IsEligible(g, r.Hint, &r.Excluded) && p.running(g, r.Hint) < limit {
		return Choice{Member: r.Hint, Reason: ReasonHint, BypassesHome: true}
	}
	if r.IsFirstTurn {
		return Choice{Member: p.leastLoaded(g, ranked.members[:ranked.count]), Reason: ReasonFirstTurn, BypassesHome: true}
	}
	if r.Excluded.count > 0 {
		return Choice{Member: p.leastLoaded(g, ranked.members[:ranked.count]), Reason: ReasonSpillover, BypassesHome: true}
	}

	return Choice{Member: ranked.members[0], Reason: ReasonHome}
}

// Home returns the first available member in the home order of a chat, or NoMember.
func (p *Placer) Home(g *Group, chat model.ChatKey) int {
	var none Exclusions
	ranked := p.rank(g, chat, &none)
	if ranked.count == 0 {
		return NoMember
	}

	return ranked.members[0]
}

// TopMembers returns the first available members in the home order of a chat, best first, and their number.
func (p *Placer) TopMembers(g *Group, chat model.ChatKey) ([MaxCandidates]int, int) {
	var none Exclusions
	ranked := p.rank(g, chat, &none)

	return ranked.members, ranked.count
}

// ChooseAtHome makes the choice of the home of a chat: the least loaded holder of the prefix that is below the load
// limit, or the least loaded candidate if there is none.
func (p *Placer) ChooseAtHome(g *Group, chat model.ChatKey, holders []model.EndpointID) Choice {
	var none Exclusions
	ranked := p.rank(g, chat, &none)
	if ranked.count == 0 {
		return Choice{Member: NoMember, Reason: ReasonNone}
	}
	limit := g.loadLimit(ranked.load)
	best := NoMember
	for _, id := range holders {
		m := g.IndexOf(id)
		if m == NoMember || !p.IsEligible(g, m, &none) || p.running(g, m) >= limit {
			continue
		}
		if best == NoMember || p.running(g, m) < p.running(g, best) {
			best = m
		}
	}
	if best != NoMember {
		return Choice{Member: best, Reason: ReasonHolder, BypassesHome: true}
	}

	return Choice{Member: p.leastLoaded(g, ranked.members[:ranked.count]), Reason: ReasonSpillover, BypassesHome: true}
}

// NextBest returns the least loaded candidate other than the member that refused a request, or NoMember.
func (p *Placer) NextBest(g *Group, chat model.ChatKey, refusing int) int {
	var excluded Exclusions
	excluded.Add(refusing)
	ranked := p.rank(g, chat, &excluded)
	if ranked.count == 0 {
		return NoMember
	}

	return p.leastLoaded(g, ranked.members[:ranked.count])
}

// leastLoaded returns the member with the lowest cost, the earlier one on a tie.
func (p *Placer) leastLoaded(g *Group, members []int) int {
	best := members[0]
	for _, m := range members[1:] {
		if p.cost(g, m) < p.cost(g, best) {
			best = m
		}
	}

	return best
}

// HomeOrder returns the first members in the home order of a chat that are available and not excluded, best first.
func (p *Placer) HomeOrder(g *Group, chat model.ChatKey, excluded *Exclusions) []int {
	ranked := p.rank(g, chat, excluded)

	return append([]int(nil), ranked.members[:ranked.count]...)
}
