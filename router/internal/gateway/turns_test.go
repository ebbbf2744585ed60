package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

func TestTurnsGoToNearGatewaysMoreOften(t *testing.T) {
	cases := []struct {
		name      string
		near, far int
		// least and most bound the share of the near ones in percent.
		least, most int
	}{
		{"nobody", 0, 0, 0, 0},
		{"none near", 0, 5, 0, 0},
		{"all near", 4, 0, 100, 100},
		{"one near of three", 1, 2, 60, 72},
		{"a quarter near", 7, 22, 42, 55},
		{"most near", 20, 5, 65, 75},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			x := newTurns()
			x.chance = rand.New(rand.NewPCG(1, 1)).Float64
			for n := range c.near + c.far {
				x.add(fmt.Sprint(n))
			}
			for n := range c.near {
				x.found(fmt.Sprint(n))
			}
			const rounds = 2000
			asked := map[string]int{}
			for range rounds {
				asked[x.next()]++
			}
			near, fewest := 0, rounds
			for n := range c.near + c.far {
				count := asked[fmt.Sprint(n)]
				fewest = min(fewest, count)
				if n < c.near {
					near += count
				}
			}
			if percent := 100 * near / rounds; percent < c.least || percent > c.most {
				t.Errorf("%d %% of the trades go to near gateways", percent)
			}
			if c.near+c.far > 0 && fewest == 0 {
				t.Errorf("a gateway is never asked: %v", asked)
			}
			x.drop("0")
			for range rounds {
				if x.next() == "0" {
					t.Fatal("a gateway that was dropped is asked")
				}
			}
		})
	}
}
