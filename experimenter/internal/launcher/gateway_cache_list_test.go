package launcher_test

import (
	"regexp"
	"strconv"
	"testing"
	"time"

	"cardamompulley/experimenter/internal/launcher"
)

// Guards against gateways that each ask all endpoints what they have cached after the death of all gateways.
func TestOneGatewayAsksEachEndpointWhatItHasCached(t *testing.T) {
	const streams, gateways = 24, 4
	engines := []versionedEngine{{"a1", "v1"}, {"a2", "v1"}, {"b1", "v2"}, {"b2", "v2"}}
	f := launchVersions(t, gateways, engines...)
	all := newStreams(streams, false)
	first := sendStreams(t.Context(), all, f.Gateways[0])
	time.Sleep(400 * time.Millisecond)
	restartGateways(t, f)
	first.Wait()
	time.Sleep(time.Second)
	sendStreams(t.Context(), all, f.Gateways...).Wait()
	if complete, joined := countStreams(all); joined > 0 || complete < streams/2 {
		t.Errorf("%d streams complete, %d joined, want at least half and none", complete, joined)
	}
	lists := 0
	for _, g := range f.Gateways {
		lists += metricOf(t, g, "gateway_cache_lists_read_total")
	}
	if lists == 0 || lists > len(engines) {
		t.Errorf("%d gateways have read %d lists of %d engines", gateways, lists, len(engines))
	}
}

// metricOf returns the value of a gateway's metric, zero if it has none.
func metricOf(t *testing.T, g *launcher.Process, name string) int {
	t.Helper()
	text, err := launcher.Fetch("http://" + g.Address("metrics") + "/metrics")
	must(t, err)
	found := regexp.MustCompile(`(?m)^` + name + ` (\d+)$`).FindStringSubmatch(text)
	if found == nil {
		return 0
	}
	value, err := strconv.Atoi(found[1])
	must(t, err)

	return value
}
