package placer

import (
	"cardamompulley/fleet/exchanger"
	"cardamompulley/fleet/model"
)

// NoMember is the place of no member.
const NoMember = -1

const (
	remotePenalty = 1
	coldPenalty   = 4
	fullPenalty   = 64
	maxExcluded   = 8
	outageBound   = 1.1
)

// Reason says why a member was chosen.
type Reason string

// The reasons of a choice.
const (
	ReasonHint      Reason = "hint"
	ReasonHome      Reason = "home"
	ReasonHolder    Reason = "holder"
	ReasonFirstTurn Reason = "first-turn"
	ReasonSpill     Reason = "spill"
	ReasonNone      Reason = "none"
)

// Choice is the chosen member; Placed means that the home of the chat need not be asked.
type Choice struct {
	Member int
	Reason Reason
	Placed bool
}

// Exclusions are the members that have already turned a request down.
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

// Has tells whether a member is excluded.
func (e *Exclusions) Has(member int) bool {
	for i := range e.count {
		if e.members[i] == member {
			return true
		}
	}

	return false
}

// Request is what a placement depends on.
type Request struct {
	Chat      model.ChatKey
	FirstTurn bool
	Hint      int
	Excluded  Exclusions
}

// Placer chooses members for one process from its view of the loads.
type Placer struct {
	// Blocked tells whether this process itself holds an endpoint, by its index, for unreachable; nil holds none.
	Blocked func(index int) bool

	domain model.DomainID
	table  *exchanger.Table
}

// NewPlacer returns a placer for a process in a failure domain.
func NewPlacer(domain model.DomainID, table *exchanger.Table) *Placer {
	return &Placer{domain: domain, table: table}
}

type survey struct {
	ranked [Choices]int
	scores [Choices]float64
	count  int
	load   groupLoad
}

// groupLoad is the load of a group over its usable members.
type groupLoad struct {
	total    int
	usable   int
	declared int
}

func (l groupLoad) mean() float64 {
	return float64(l.total) / float64(max(l.usable, 1))
}

// Usable tells whether a member may be proposed new work.
func (p *Placer) Usable(g *Group, member int, excluded *Exclusions) bool {
	m := &g.Members[member]

	return p.open(m, p.table.At(m.Index).State) && !excluded.Has(member)
}

// open tells whether a member in a state takes new work.
func (p *Placer) open(m *Member, state exchanger.State) bool {
	if !m.in || state == exchanger.StateLeaving || state == exchanger.StateDown {
		return false
	}

	return p.Blocked == nil || !p.Blocked(m.Index)
}

func (p *Placer) survey(g *Group, chat model.ChatKey, excluded *Exclusions) survey {
	var s survey
	s.load.declared = len(g.Members)
	for i := range g.Members {
		m := &g.Members[i]
		l := p.table.At(m.Index)
		if !p.open(m, l.State) || excluded.Has(i) {
			continue
		}
		s.load.total += l.Busy
		s.load.usable++
		s.insert(i, g.score(m, chat))
	}

	return s
}

func (s *survey) insert(member int, score float64) {
	if s.count == Choices && score <= s.scores[Choices-1] {
		return
	}
	at := min(s.count, Choices-1)
	for at > 0 && s.scores[at-1] < score {
		s.ranked[at] = s.ranked[at-1]
		s.scores[at] = s.scores[at-1]
		at--
	}
	s.ranked[at] = member
	s.scores[at] = score
	s.count = min(s.count+1, Choices)
}

func (p *Placer) busy(g *Group, member int) int {
	return p.table.At(g.Members[member].Index).Busy
}

func (p *Placer) cost(g *Group, member int) int {
	cost := p.busy(g, member)
	if g.Members[member].Domain != p.domain {
		cost += remotePenalty
	}
	switch p.table.At(g.Members[member].Index).State {
	case exchanger.StateCold:
		cost += coldPenalty
	case exchanger.StateFull:
		cost += fullPenalty
	default:
	}

	return cost
}

func (p *Placer) load(g *Group) groupLoad {
	l := groupLoad{declared: len(g.Members)}
	for i := range g.Members {
		m := &g.Members[i]
		seen := p.table.At(m.Index)
		if p.open(m, seen.State) {
			l.total += seen.Busy
			l.usable++
		}
	}

	return l
}

// Mean returns the mean busy count over the usable members.
func (p *Placer) Mean(g *Group) float64 {
	return p.load(g).mean()
}

// Limit returns the busy count up to which a member is given work now.
func (p *Placer) Limit(g *Group) int {
	return g.limit(p.load(g))
}

// limit lets equal members always take one more. Members that are away count as empty, down to a least bound over the
// others, so that the load is still under the declared bound when they come back and the mean falls at once.
func (g *Group) limit(l groupLoad) int {
	whole := float64(l.total) / float64(max(l.declared, 1))

	return max(g.Floor, int(max(g.Bound*whole, min(g.Bound, outageBound)*l.mean()))+1)
}

// Choose is the router's choice: the hint, the least loaded head for a first turn, else the home.
func (p *Placer) Choose(g *Group, r *Request) Choice {
	s := p.survey(g, r.Chat, &r.Excluded)
	if s.count == 0 {
		return Choice{Member: NoMember, Reason: ReasonNone}
	}
	limit := g.limit(s.load)
	if r.Hint != NoMember && p.Usable(g, r.Hint, &r.Excluded) && p.busy(g, r.Hint) < limit {
		return Choice{Member: r.Hint, Reason: ReasonHint, Placed: true}
	}
	if r.FirstTurn {
		return Choice{Member: p.leastLoaded(g, s.ranked[:s.count]), Reason: ReasonFirstTurn, Placed: true}
	}
	if r.Excluded.count > 0 {
		return Choice{Member: p.leastLoaded(g, s.ranked[:s.count]), Reason: ReasonSpill, Placed: true}
	}

	return Choice{Member: s.ranked[0], Reason: ReasonHome}
}

// Home returns the first usable member of a chat's home order, or NoMember.
func (p *Placer) Home(g *Group, chat model.ChatKey) int {
	var none Exclusions
	s := p.survey(g, chat, &none)
	if s.count == 0 {
		return NoMember
	}

	return s.ranked[0]
}

// Head returns the first usable members of a chat's home order.
func (p *Placer) Head(g *Group, chat model.ChatKey) ([Choices]int, int) {
	var none Exclusions
	s := p.survey(g, chat, &none)

	return s.ranked, s.count
}

// ChooseAtHome is the home's choice: the least loaded warm holder under the bound, else the least loaded head.
func (p *Placer) ChooseAtHome(g *Group, chat model.ChatKey, holders []model.EndpointID) Choice {
	var none Exclusions
	s := p.survey(g, chat, &none)
	if s.count == 0 {
		return Choice{Member: NoMember, Reason: ReasonNone}
	}
	limit := g.limit(s.load)
	best := NoMember
	for _, id := range holders {
		m := g.Find(id)
		if m == NoMember || !p.Usable(g, m, &none) || p.busy(g, m) >= limit {
			continue
		}
		if best == NoMember || p.busy(g, m) < p.busy(g, best) {
			best = m
		}
	}
	if best != NoMember {
		return Choice{Member: best, Reason: ReasonHolder, Placed: true}
	}

	return Choice{Member: p.leastLoaded(g, s.ranked[:s.count]), Reason: ReasonSpill, Placed: true}
}

// NextBest names another member for a request that one member has turned away, or NoMember.
func (p *Placer) NextBest(g *Group, chat model.ChatKey, away int) int {
	var excluded Exclusions
	excluded.Add(away)
	s := p.survey(g, chat, &excluded)
	if s.count == 0 {
		return NoMember
	}

	return p.leastLoaded(g, s.ranked[:s.count])
}

func (p *Placer) leastLoaded(g *Group, members []int) int {
	best := members[0]
	for _, m := range members[1:] {
		if p.cost(g, m) < p.cost(g, best) {
			best = m
		}
	}

	return best
}

// HomeOrder returns the usable heads of a chat's home order, best first.
func (p *Placer) HomeOrder(g *Group, chat model.ChatKey, excluded *Exclusions) []int {
	s := p.survey(g, chat, excluded)

	return append([]int(nil), s.ranked[:s.count]...)
}
