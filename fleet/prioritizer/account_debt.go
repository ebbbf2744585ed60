package prioritizer

import (
	"maps"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// burstTime is the time for which an account may send its share at once.
const burstTime = timekeeper.Second

// accountDebt is what an account has sent ahead of its share, at a time.
type accountDebt struct {
	tokens float64
	at     timekeeper.Millis
}

// accountDebts spreads the shares of accounts over time: a debt falls at the rate of the account's share.
type accountDebts map[model.AccountID]accountDebt

// take adds tokens to an account's debt and returns true, or returns false if the debt is too high. The slack is
// what an account may send beyond the rate.
func (d accountDebts) take(id model.AccountID, tokens, perMs, slack float64, now timekeeper.Millis) bool {
	debt, ok := d[id]
	if !ok && len(d) >= maxAccounts {
		return true
	}
	burst := slack + perMs*float64(burstTime)
	if ok {
		debt.tokens = max(debt.tokens-perMs*float64(now-debt.at), 0)
	}
	debt.at = now
	isWithin := debt.tokens < burst
	if isWithin {
		debt.tokens += tokens
	}
	d[id] = debt

	return isWithin
}

// expire forgets the accounts that have sent nothing for the length of a window.
func (d accountDebts) expire(now timekeeper.Millis) {
	maps.DeleteFunc(d, func(_ model.AccountID, debt accountDebt) bool {
		return now-debt.at >= windowGenerations*generationLength
	})
}
