package budgeter

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

const (
	// minLimit is the limit in requests a second that stands in for a lower one, so that its end is noticed.
	minLimit = 0.25
	// maxLimit is the limit in requests a second that stands in for a higher one.
	maxLimit = 1e6
	// savedRequests is added to the limit to give the number of requests that all gateways together may save up.
	savedRequests = 3
	// minBurst is the least that each gateway with a share may save up, in requests. What it has beyond surplus is for any request.
	minBurst = 1.5
	surplus  = 1.2
	// staleAfter is how long after the last answer of an endpoint, at any gateway, those without a share try it in turn.
	staleAfter = 15 * timekeeper.Second
	// triesPerLimit is the rate of these tries, over all gateways, as a fraction of the limit.
	triesPerLimit = 0.25
	// rankLifetime is how long a gateway's rank for an endpoint is used.
	rankLifetime = timekeeper.Second
	// limitNewsLifetime is how long a limit that has begun, changed or ended is told before others.
	limitNewsLifetime = 10 * timekeeper.Second
	// endedMemory is how long the end of a limit is told to other gateways.
	endedMemory = 15 * timekeeper.Second
	// unsettledWait is the wait of a gateway that does not know yet with whom it shares a limit.
	unsettledWait = 500 * timekeeper.Millis(1)
)

// LimitNotice is what an answer of an endpoint has said of its limit.
type LimitNotice struct {
	Endpoint model.EndpointProcess
	// PerSecond is the number of requests a second that the endpoint takes from all gateways together; it counts only if IsAdvertised
	// is true.
	PerSecond    float64
	IsAdvertised bool
	// At is when the answer arrived, at this gateway or at another one.
	At timekeeper.Millis
}

// EndpointLimiter enforces this gateway's share of the request rates that endpoints advertise in their answers.
//
// A limit is divided among about as many gateways as it allows requests a second, those that rank first for the endpoint, so that
// what they save up stays within the bound, however many gateways there are. The others do not use the endpoint.
type EndpointLimiter struct {
	self   string
	limits map[model.EndpointID]*endpointLimit
}

// endpointLimit is the newest notice of an endpoint's limit, and this gateway's share of it.
type endpointLimit struct {
	LimitNotice

	// changedAt is when the limit began, changed or ended, as far as this gateway knows, and timesShared how often other gateways have
	// been told since.
	changedAt   timekeeper.Millis
	timesShared int
	// tokens is the number of requests that this gateway may send, as of countedAt.
	tokens    float64
	countedAt timekeeper.Millis
	// lastRequest is when this gateway last sent a request.
	lastRequest timekeeper.Millis
	// position is this gateway's rank among a number of gateways, as of rankedAt.
	position, gateways int
	rankedAt           timekeeper.Millis
}

// NewEndpointLimiter returns a limiter without limits; self is the address of this gateway.
func NewEndpointLimiter(self string) *EndpointLimiter {
	return &EndpointLimiter{self: self, limits: map[model.EndpointID]*endpointLimit{}}
}

// RecordAnswer records what an answer says that has arrived here; its request was sent at sentAt. It reports whether the limit has
// begun, changed or ended. Answers on different connections overtake each other, so one without a limit ends it only if its
// request was sent after the limit was last advertised.
func (l *EndpointLimiter) RecordAnswer(n LimitNotice, sentAt timekeeper.Millis) bool {
	known, ok := l.limits[n.Endpoint.ID]
	if ok && !n.IsAdvertised && known.Endpoint == n.Endpoint && sentAt <= known.At {
		return false
	}

	return l.Merge(n)
}

// Merge takes in a notice and reports whether the limit has begun, changed or ended. It ignores a notice that is older than the
// known one.
func (l *EndpointLimiter) Merge(n LimitNotice) bool {
	known, ok := l.limits[n.Endpoint.ID]
	if ok && n.Endpoint.StartedAt < known.Endpoint.StartedAt {
		return false
	}
	if !ok || known.Endpoint != n.Endpoint {
		if n.IsAdvertised {
			l.limits[n.Endpoint.ID] = &endpointLimit{LimitNotice: n, changedAt: n.At, countedAt: n.At}
		} else {
			delete(l.limits, n.Endpoint.ID)
		}

		return n.IsAdvertised || ok && known.IsAdvertised
	}
	if n.At <= known.At {
		return false
	}
	hasChanged := known.IsAdvertised != n.IsAdvertised || known.PerSecond != n.PerSecond
	known.LimitNotice = n
	if hasChanged {
		known.changedAt, known.timesShared = n.At, 0
	}

	return hasChanged
}

// advertised returns the limit that an endpoint advertises, or nil if it advertises none.
func (l *EndpointLimiter) advertised(p model.EndpointProcess) *endpointLimit {
	known, ok := l.limits[p.ID]
	if !ok || !known.IsAdvertised || known.Endpoint != p {
		return nil
	}

	return known
}

// IsLimited reports whether an endpoint advertises a limit.
func (l *EndpointLimiter) IsLimited(p model.EndpointProcess) bool {
	return l.advertised(p) != nil
}

// Count returns the number of endpoints that advertise a limit.
func (l *EndpointLimiter) Count() int {
	n := 0
	for _, known := range l.limits {
		if known.IsAdvertised {
			n++
		}
	}

	return n
}

// Wait returns how long this gateway must wait before it may send a request to an endpoint; zero means that it may now. The limit
// is divided among gateways, which is empty while they are not known yet.
func (l *EndpointLimiter) Wait(p model.EndpointProcess, gateways []string, now timekeeper.Millis) timekeeper.Millis {
	known := l.advertised(p)
	if known == nil {
		return 0
	}
	if len(gateways) == 0 {
		return unsettledWait
	}
	perSecond := min(max(known.PerSecond, minLimit), maxLimit)
	holders, burst := divide(perSecond, len(gateways))
	position := l.rankFor(known, gateways, now)
	if position >= holders {
		turn := timekeeper.Millis(float64(position-holders) / (triesPerLimit * perSecond) * float64(timekeeper.Second))

		return max(max(known.At, known.lastRequest)+staleAfter+turn-now, 0)
	}
	share := perSecond / float64(holders)
	known.refill(share, burst, now)

	return timekeeper.Millis(max(1-known.tokens, 0) / share * float64(timekeeper.Second))
}

// divide returns the number of gateways among which a limit is divided, and the number of requests that each of them may save up.
func divide(perSecond float64, gateways int) (holders int, burst float64) {
	saved := int(perSecond) + savedRequests
	holders = min(gateways, int(math.Ceil(float64(saved)/minBurst)))

	return holders, float64(saved) / float64(holders)
}

// HasSurplus reports whether this gateway has saved up more requests to an endpoint than those need that are best served there.
func (l *EndpointLimiter) HasSurplus(p model.EndpointProcess) bool {
	known := l.advertised(p)

	return known != nil && known.tokens >= surplus
}

// rankFor returns this gateway's rank for an endpoint, which is determined again after rankLifetime.
func (l *EndpointLimiter) rankFor(known *endpointLimit, gateways []string, now timekeeper.Millis) int {
	if known.gateways != len(gateways) || now-known.rankedAt >= rankLifetime {
		known.position = rank(known.Endpoint.ID, l.self, gateways)
		known.gateways, known.rankedAt = len(gateways), now
	}

	return known.position
}

// refill adds the tokens that have accrued at a rate a second since they were last counted, up to burst.
func (e *endpointLimit) refill(perSecond, burst float64, now timekeeper.Millis) {
	accrued := perSecond * float64(max(now-e.countedAt, 0)) / float64(timekeeper.Second)
	e.tokens = min(e.tokens+accrued, burst)
	e.countedAt = now
}

// RecordRequest records a request sent to an endpoint.
func (l *EndpointLimiter) RecordRequest(id model.EndpointID, now timekeeper.Millis) {
	if known, ok := l.limits[id]; ok {
		known.tokens = max(known.tokens-1, 0)
		known.lastRequest = now
	}
}

// Share returns notices to tell another gateway, at most count of them: limits that have begun, changed or ended shortly before, those
// shared least often first, then the newest of the others.
func (l *EndpointLimiter) Share(count int, now timekeeper.Millis) []LimitNotice {
	limits := slices.Collect(maps.Values(l.limits))
	// Gateways that know the same must not all tell the same part of it.
	rand.Shuffle(len(limits), func(i, j int) { limits[i], limits[j] = limits[j], limits[i] })
	slices.SortStableFunc(limits, func(x, y *endpointLimit) int { return x.compareNews(y, now) })
	limits = limits[:min(count, len(limits))]
	notices := make([]LimitNotice, 0, len(limits))
	for _, known := range limits {
		known.timesShared++
		notices = append(notices, known.LimitNotice)
	}

	return notices
}

// compareNews orders limits by the urgency of telling other gateways.
func (e *endpointLimit) compareNews(other *endpointLimit, now timekeeper.Millis) int {
	isNews, isOtherNews := e.isNews(now), other.isNews(now)
	switch {
	case isNews && isOtherNews:
		return cmp.Compare(e.timesShared, other.timesShared)
	case isNews:
		return -1
	case isOtherNews:
		return 1
	default:
		return cmp.Compare(other.At, e.At)
	}
}

// isNews reports whether the limit has begun, changed or ended so recently that other gateways may not know it.
func (e *endpointLimit) isNews(now timekeeper.Millis) bool {
	return now-e.changedAt < limitNewsLifetime
}

// Prune removes the limits of endpoints that are no longer known, and those that ended some time ago.
func (l *EndpointLimiter) Prune(isKnown func(model.EndpointID) bool, now timekeeper.Millis) {
	for id, known := range l.limits {
		hasExpired := !known.IsAdvertised && now-known.At >= endedMemory
		if hasExpired || !isKnown(id) {
			delete(l.limits, id)
		}
	}
}
