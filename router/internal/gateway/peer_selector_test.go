package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

func TestPeerSelectorPrefersSameDomain(t *testing.T) {
	cases := []struct {
		name                     string
		sameDomain, otherDomains int
		// least and most limit the share of exchanges with gateways of the same domain, in percent.
		least, most int
	}{
		{"no gateway", 0, 0, 0, 0},
		{"none in the same domain", 0, 5, 0, 0},
		{"all in the same domain", 4, 0, 100, 100},
		{"one of three in the same domain", 1, 2, 60, 72},
		{"a quarter in the same domain", 7, 22, 42, 55},
		{"most in the same domain", 20, 5, 65, 75},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newPeerSelector()
			s.random = rand.New(rand.NewPCG(1, 1)).Float64
			for n := range c.sameDomain + c.otherDomains {
				s.add(fmt.Sprint(n))
			}
			for n := range c.sameDomain {
				s.markSameDomain(fmt.Sprint(n))
			}
			const rounds = 2000
			selected := map[string]int{}
			for range rounds {
				selected[s.next()]++
			}
			sameDomain, fewest := 0, rounds
			for n := range c.sameDomain + c.otherDomains {
				count := selected[fmt.Sprint(n)]
				fewest = min(fewest, count)
				if n < c.sameDomain {
					sameDomain += count
				}
			}
			if percent := 100 * sameDomain / rounds; percent < c.least || percent > c.most {
				t.Errorf("%d %% of the exchanges go to gateways of the same domain", percent)
			}
			if c.sameDomain+c.otherDomains > 0 && fewest == 0 {
				t.Errorf("a gateway is never selected: %v", selected)
			}
			s.remove("0")
			for range rounds {
				if s.next() == "0" {
					t.Fatal("a removed gateway is selected")
				}
			}
		})
	}
}
