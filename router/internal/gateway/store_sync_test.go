package gateway

import (
	"fmt"
	"testing"

	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/timekeeper"
)

// Full reads of all gateways together must fit into what the store serves, beside the watches.
func TestFullReadsAreSpreadByNumberOfGateways(t *testing.T) {
	cases := []struct {
		gateways, readsPerSecond int
	}{{1, 2000}, {4, 2000}, {30, 6000}, {300, 2000}, {410, 2000}}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%d gateways, %d reads a second", c.gateways, c.readsPerSecond), func(t *testing.T) {
			s := NewSettings()
			s.PeerListen, s.StoreAddress, s.StoreReadsPerSecond = "127.0.0.1:1", "127.0.0.1:1", c.readsPerSecond
			for n := range c.gateways - 1 {
				s.Seeds = append(s.Seeds, fmt.Sprintf("127.0.0.2:%d", n+1))
			}
			g := NewGateway(s, timekeeper.NewSystemClock(), logger.NewDiscard())
			spread := g.rereadSpread()
			perSecond := float64(c.gateways*rereadCalls) / float64(spread) * float64(timekeeper.Second)
			if perSecond > float64(c.readsPerSecond) {
				t.Errorf("%.0f calls a second in %d ms", perSecond, spread)
			}
			if spread > 2*timekeeper.Second {
				t.Errorf("the reads take %d ms", spread)
			}
		})
	}
}
