package gateway

import (
	"errors"
	"fmt"
	"testing"

	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/timekeeper"
	"cardamompulley/router/internal/forwarder"
)

func newGatewayOf(gateways, readsPerSecond int) *Gateway {
	s := NewSettings()
	s.PeerListen, s.StoreAddress, s.StoreReadsPerSecond = "127.0.0.1:1", "127.0.0.1:1", readsPerSecond
	for n := range gateways - 1 {
		s.Seeds = append(s.Seeds, fmt.Sprintf("127.0.0.2:%d", n+1))
	}

	return NewGateway(s, timekeeper.NewSystemClock(), logger.NewDiscard())
}

// One lost answer of the store, or none of a gateway, does not make callers be refused that could be served.
func TestStateIsComingUntilStoreAndGatewaysFail(t *testing.T) {
	g := newGatewayOf(3, 2000)
	failed := errors.New("status 503")
	if g.stateOutlook() != forwarder.OutlookOpen {
		t.Error("nothing has failed yet")
	}
	g.recordStoreResult(failed)
	g.recordCopyAsked()
	if g.stateOutlook() != forwarder.OutlookOpen {
		t.Error("one call to the store has failed")
	}
	g.recordStoreResult(failed)
	if g.stateOutlook() != forwarder.OutlookAway {
		t.Error("the store and another gateway have failed")
	}
	g.recordStoreResult(nil)
	if g.stateOutlook() != forwarder.OutlookOpen {
		t.Error("the store has answered again")
	}
	g.decoded.configuration = &cataloguer.Configuration{}
	if g.stateOutlook() != forwarder.OutlookArriving {
		t.Error("the configuration is there, and the list of endpoints asked for")
	}
	g.recordStoreResult(failed)
	g.recordStoreResult(failed)
	g.view.Store(cataloguer.NewView(nil, nil, nil, g.clock.Now()))
	if g.stateOutlook() != forwarder.OutlookOpen {
		t.Error("the state is there")
	}
}

// Without a view, the store is asked often, but by all gateways together not more often than it serves.
func TestStoreIsAskedOftenWithoutView(t *testing.T) {
	for _, gateways := range []int{1, 11, 410} {
		for _, readsPerSecond := range []int{100, 2000} {
			g := newGatewayOf(gateways, readsPerSecond)
			pause := g.storeBackoff()
			if pause < maxStartBackoff || pause > maxBackoff {
				t.Errorf("%d gateways: pause of %d ms", gateways, pause)
			}
			perSecond := float64(gateways) / float64(pause) * float64(timekeeper.Second)
			if perSecond > float64(readsPerSecond) && pause < maxBackoff {
				t.Errorf("%d gateways ask %.0f times a second, %d are served", gateways, perSecond, readsPerSecond)
			}
			g.view.Store(cataloguer.NewView(nil, nil, nil, g.clock.Now()))
			if g.storeBackoff() != maxBackoff {
				t.Error("the store is asked as often with a view")
			}
		}
	}
}
