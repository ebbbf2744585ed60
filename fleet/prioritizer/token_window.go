package prioritizer

import (
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

const (
	// generationLength is the length of the parts in which a window moves.
	generationLength = 2 * timekeeper.Second
	// windowGenerations is the number of parts of a window; the newest is still filling.
	windowGenerations = 5
	// newestGenerations is the number of parts that show a change of what engines serve.
	newestGenerations = 2
	// maxAccounts bounds the client accounts that are counted in a part, and of which the usual tokens are known. Others are never
	// demoted.
	maxAccounts = 10_000
)

// accountTokens is what an account has sent in one part of a window: the tokens of all requests, and of those not demoted.
type accountTokens struct {
	sent    float64
	granted float64
}

// generation is one part of a window.
type generation struct {
	accounts map[model.AccountID]accountTokens
	requests int
	// served is the tokens of all requests that engines have begun to answer.
	served float64
	// wasShort is true if the service was short in this part.
	wasShort bool
}

// tokenWindow counts the tokens of a service by client account in a sliding window. What accounts usually send is kept for longer.
type tokenWindow struct {
	// generations holds the parts, the newest first.
	generations [windowGenerations]generation
	// newest is the number of the newest part since time 0.
	newest    timekeeper.Millis
	startedAt timekeeper.Millis
	usual     usualTokens
}

func newTokenWindow(now timekeeper.Millis) *tokenWindow {
	return &tokenWindow{newest: now / generationLength, startedAt: now, usual: usualTokens{accounts: map[model.AccountID]float64{}}}
}

// advance drops the parts that have left the window. A part that was calm, and was followed by a calm one, counts as usual: what an
// account sends just before a shortage does not.
func (w *tokenWindow) advance(now timekeeper.Millis) {
	current := now / generationLength
	for steps := 0; w.newest < current && steps < windowGenerations; steps++ {
		w.newest++
		if closed := w.generations[1]; !closed.wasShort && !w.generations[0].wasShort {
			w.usual.add(closed.accounts)
		}
		copy(w.generations[1:], w.generations[:windowGenerations-1])
		w.generations[0] = generation{}
	}
	w.newest = max(w.newest, current)
}

// add counts a request of an account.
func (w *tokenWindow) add(id model.AccountID, tokens float64, isGranted bool) {
	g := &w.generations[0]
	g.requests++
	if g.accounts == nil {
		g.accounts = map[model.AccountID]accountTokens{}
	}
	counted, ok := g.accounts[id]
	if !ok && len(g.accounts) >= maxAccounts {
		return
	}
	counted.sent += tokens
	if isGranted {
		counted.granted += tokens
	}
	g.accounts[id] = counted
}

// sent returns the tokens that an account has sent within the window.
func (w *tokenWindow) sent(id model.AccountID) float64 {
	sum := 0.0
	for i := range w.generations {
		sum += w.generations[i].accounts[id].sent
	}

	return sum
}

// sentByAccount returns the tokens that each account has sent within the window, and the number of requests.
func (w *tokenWindow) sentByAccount() (byAccount map[model.AccountID]float64, requests int) {
	byAccount = map[model.AccountID]float64{}
	for i := range w.generations {
		requests += w.generations[i].requests
		for id, counted := range w.generations[i].accounts {
			byAccount[id] += counted.sent
		}
	}

	return byAccount, requests
}

// served returns the tokens of requests that engines begin to answer within the length of a window, at the lower of its rates over the
// window and over its newest parts: engines may have just been lost.
func (w *tokenWindow) served(now timekeeper.Millis) float64 {
	total, newest := 0.0, 0.0
	for i := range w.generations {
		total += w.generations[i].served
		if i < newestGenerations {
			newest += w.generations[i].served
		}
	}
	span := w.span(now, windowGenerations)

	return min(total, newest*float64(span)/float64(w.span(now, newestGenerations)))
}

// span returns the time that a number of the newest parts covers.
func (w *tokenWindow) span(now timekeeper.Millis, parts timekeeper.Millis) timekeeper.Millis {
	begin := max((w.newest-parts+1)*generationLength, w.startedAt)

	return max(now-begin, generationLength)
}
