package prioritizer

import "cardamompulley/fleet/model"

const (
	// usualDecay is the part of the usual tokens that is kept when a calm part of a window is added.
	usualDecay = 1 - 1.0/30
	// minUsualTokens is the tokens below which an account is forgotten.
	minUsualTokens = 1
)

// usualTokens is what accounts send while the service is not short, as sums that decay; only their ratios count.
type usualTokens struct {
	accounts map[model.AccountID]float64
}

// add adds what accounts have sent within their share in a calm part of a window, and forgets those that have sent nothing for long.
func (u *usualTokens) add(sent map[model.AccountID]accountTokens) {
	for id, tokens := range u.accounts {
		if tokens *= usualDecay; tokens >= minUsualTokens {
			u.accounts[id] = tokens
		} else {
			delete(u.accounts, id)
		}
	}
	for id, counted := range sent {
		if _, ok := u.accounts[id]; ok || len(u.accounts) < maxAccounts {
			u.accounts[id] += counted.granted
		}
	}
}
