package prioritizer

import (
	"testing"

	"cardamompulley/fleet/model"
)

// An account of which nothing counts as usual must take no place among those that do, and gives no growth: its ratio would have no divisor.
func TestAccountWithoutUsualTokensIsNotKept(t *testing.T) {
	u := usualTokens{accounts: map[model.AccountID]float64{}, time: 2 * learningTime}
	u.add(map[model.AccountID]accountTokens{"hot": {sent: 1000}})
	if n := len(u.accounts); n != 0 {
		t.Errorf("%d accounts with usual tokens, want none", n)
	}
	if g := medianGrowth(map[model.AccountID]float64{"hot": 1000}, u.accounts); g != 0 {
		t.Errorf("growth %v, want 0 while nothing is usual", g)
	}
	u.add(map[model.AccountID]accountTokens{"calm": {sent: 10, granted: 10}})
	if u.accounts["calm"] != 10 {
		t.Errorf("%v usual tokens of an account within its share, want 10", u.accounts["calm"])
	}
}
