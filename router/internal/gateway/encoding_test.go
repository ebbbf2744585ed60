package gateway

import (
	"reflect"
	"slices"
	"testing"

	"cardamompulley/fleet/balancer"
	"cardamompulley/fleet/budgeter"
	"cardamompulley/fleet/locator"
	"cardamompulley/fleet/model"
)

func TestPlacementsRoundTrip(t *testing.T) {
	encoded := encodePlacements([]locator.Placement{{Part: 7, Endpoint: "e"}, {Part: 1<<32 - 1, Endpoint: "f"}})
	want := []peerPlacement{{7, balancer.HashName("e")}, {1<<32 - 1, balancer.HashName("f")}}
	if got := decodePlacements(encoded); !slices.Equal(got, want) {
		t.Fatalf("%v, want %v", got, want)
	}
	if got := decodePlacements(encoded[:placementBytes+3]); !slices.Equal(got, want[:1]) {
		t.Fatalf("%v from truncated bytes", got)
	}
}

func TestReportsRoundTrip(t *testing.T) {
	b, c, e := balancer.HashName("b"), balancer.HashName("c"), balancer.HashName("e")
	encoded := appendReport(nil, balancer.LoadReport{
		Gateway: b, CountedAt: 400, Loads: []balancer.EndpointLoad{{Endpoint: e, Running: 2}},
	}, 1000)
	if len(encoded) != balancer.LoadReportHeaderBytes+2*balancer.NameHashBytes {
		t.Fatalf("%d bytes for two requests", len(encoded))
	}
	encoded = appendReport(encoded, balancer.LoadReport{
		Gateway: c, CountedAt: 1000, Loads: []balancer.EndpointLoad{{Endpoint: e, Running: 300}},
	}, 1000)
	// The receiver's clock may differ from the sender's, since only the age is encoded.
	got := decodeReports(encoded, 70_000)
	if len(got) != 2 || got[0].Gateway != b || got[0].CountedAt != 70_000-600 || len(got[0].Loads) != 2 || got[0].Loads[1].Endpoint != e {
		t.Fatalf("%+v", got)
	}
	if got[1].Gateway != c || got[1].CountedAt != 70_000 || len(got[1].Loads) != 255 {
		t.Fatalf("second report is of gateway %d at %d with %d requests, want c at 70000 with 255",
			got[1].Gateway, got[1].CountedAt, len(got[1].Loads))
	}
	for cut := range encoded {
		if got := decodeReports(encoded[:cut], 0); len(got) > 1 {
			t.Fatalf("%d reports in %d bytes", len(got), cut)
		}
	}
}

func TestLimitNoticesSurviveEncoding(t *testing.T) {
	const now = 100_000
	a, b := model.EndpointProcess{ID: "a", StartedAt: 5}, model.EndpointProcess{ID: "b"}
	known := map[balancer.NameHash]model.EndpointProcess{processHash(a): a, processHash(b): b}
	sent := []budgeter.LimitNotice{
		{Endpoint: a, PerSecond: 2.5, IsAdvertised: true, At: now - 300},
		{Endpoint: b, At: now},
		{Endpoint: model.EndpointProcess{ID: "a", StartedAt: 6}, PerSecond: 1, IsAdvertised: true, At: now},
		{Endpoint: a, PerSecond: 1, IsAdvertised: true, At: 0},
	}
	encoded := encodeLimits(sent, now)
	got := decodeLimits(append(encoded, 1, 2), known, now+50)
	want := []budgeter.LimitNotice{
		{Endpoint: a, PerSecond: 2.5, IsAdvertised: true, At: now - 250},
		{Endpoint: b, At: now + 50},
	}
	if !reflect.DeepEqual(got, want) {
		t.Fatalf("%+v, want %+v", got, want)
	}
}

func FuzzDecodeLimits(f *testing.F) {
	p := model.EndpointProcess{ID: "a"}
	known := map[balancer.NameHash]model.EndpointProcess{processHash(p): p}
	f.Add(encodeLimits([]budgeter.LimitNotice{{Endpoint: p, PerSecond: 3, IsAdvertised: true}}, 0))
	f.Fuzz(func(t *testing.T, encoded []byte) {
		for _, n := range decodeLimits(encoded, known, 1000) {
			if !(n.PerSecond >= 0) || n.At > 1000 {
				t.Fatalf("accepted %+v", n)
			}
		}
	})
}
