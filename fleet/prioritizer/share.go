package prioritizer

import (
	"cmp"
	"maps"
	"slices"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

const (
	// shareInterval is how often the shares of the accounts are computed.
	shareInterval = timekeeper.Second / 2
	// youngShareDivisor makes a young gateway compute them more often: it learns much with each request.
	youngShareDivisor = 4
	// usableShare is the part of what engines serve that is divided among the accounts. The rest is headroom, so that requests within
	// their share need not wait for each other.
	usableShare = 0.8
	// usualMargin is the multiple of its usual tokens above which an account counts as one that sends more.
	usualMargin = 1.5
	// slackRequests is the number of mean requests that an account may send beyond its share, since few requests vary by chance.
	slackRequests = 4
)

// fairShares tells how many tokens each account may have sent within the window.
type fairShares struct {
	computedAt timekeeper.Millis
	// level is the max-min fair share of an account.
	level float64
	// growth is the ratio of sent to usual tokens that half of the usual traffic stays below.
	growth float64
	slack  float64
	total  float64
	// span is the time that the window covers.
	span timekeeper.Millis
}

// newFairShares divides what engines have served among the accounts that have sent requests.
func newFairShares(w *tokenWindow, now timekeeper.Millis) fairShares {
	sent, requests := w.sentByAccount()
	total := 0.0
	for _, tokens := range sent {
		total += tokens
	}

	return fairShares{
		computedAt: now,
		level:      maxMinLevel(slices.Sorted(maps.Values(sent)), usableShare*w.served(now)),
		growth:     medianGrowth(sent, w.usual.accounts),
		slack:      slackRequests * total / float64(max(requests, 1)),
		total:      total,
		span:       w.span(now, windowGenerations),
	}
}

// grown returns the tokens up to which an account sends no more than its usual, grown as the traffic of others has grown.
func (s *fairShares) grown(usual float64) float64 {
	return usualMargin*s.growth*usual + s.slack
}

// rate returns the tokens that an account may send in a millisecond: its max-min fair share, or its usual ones if these are more.
func (s *fairShares) rate(usual float64) float64 {
	return max(s.level/float64(s.span), usualMargin*usual)
}

// maxMinLevel returns the level up to which each of the demands can be met so that they take a capacity together. The demands are in
// ascending order.
func maxMinLevel(demands []float64, capacity float64) float64 {
	for i, demand := range demands {
		level := capacity / float64(len(demands)-i)
		if demand >= level {
			return level
		}
		capacity -= demand
	}
	if len(demands) == 0 {
		return capacity
	}

	return demands[len(demands)-1]
}

// medianGrowth returns the median over the accounts of the ratio of sent to usual tokens, weighted by the usual ones. A few accounts
// that send many times their usual do not change it.
func medianGrowth(sent, usual map[model.AccountID]float64) float64 {
	type account struct{ ratio, weight float64 }
	accounts := make([]account, 0, len(usual))
	rest := 0.0
	for id, tokens := range usual {
		accounts = append(accounts, account{ratio: sent[id] / tokens, weight: tokens})
		rest += tokens / 2
	}
	slices.SortFunc(accounts, func(x, y account) int { return cmp.Compare(x.ratio, y.ratio) })
	for _, a := range accounts {
		if rest -= a.weight; rest <= 0 {
			return a.ratio
		}
	}

	return 0
}
