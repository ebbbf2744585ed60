package prioritizer

import "cardamompulley/fleet/model"

const (
	// usualDecay is the part of the usual tokens that is kept when a calm part of a window is added.
	usualDecay = 1 - 1.0/30
	// usualGrowth is the multiple of its usual tokens up to which what an account has sent beyond its share counts as usual.
	usualGrowth = 2
	// learningTime is how long all that accounts send in calm parts of the window counts as usual.
	learningTime = float64(windowGenerations * generationLength)
	// minUsualTokens is the tokens below which an account is forgotten.
	minUsualTokens = 1
)

// usualTokens is what accounts send while the service is not short, as sums that decay.
type usualTokens struct {
	accounts map[model.AccountID]float64
	// time is the time for which tokens have been added, in milliseconds. It decays like them.
	time float64
}

// rate returns the tokens that an account usually sends in a millisecond, zero if that is not known.
func (u *usualTokens) rate(id model.AccountID) float64 {
	if u.time == 0 {
		return 0
	}

	return u.accounts[id] / u.time
}

// add adds what accounts have sent in a calm part of a window, and forgets those that have sent nothing for long.
func (u *usualTokens) add(sent map[model.AccountID]accountTokens) {
	added := make(map[model.AccountID]float64, len(sent))
	for id, counted := range sent {
		added[id] = u.usualPart(id, counted)
	}
	u.time = u.time*usualDecay + float64(generationLength)
	for id, tokens := range u.accounts {
		if tokens *= usualDecay; tokens >= minUsualTokens {
			u.accounts[id] = tokens
		} else {
			delete(u.accounts, id)
		}
	}
	for id, tokens := range added {
		if _, ok := u.accounts[id]; ok || tokens >= minUsualTokens && len(u.accounts) < maxAccounts {
			u.accounts[id] += tokens
		}
	}
}

// usualPart returns the part of what an account has sent that counts as usual. What is beyond its share counts in whole only while little
// is known.
func (u *usualTokens) usualPart(id model.AccountID, counted accountTokens) float64 {
	if u.time < learningTime {
		return counted.sent
	}

	return max(counted.granted, min(counted.sent, usualGrowth*u.rate(id)*float64(generationLength)))
}
