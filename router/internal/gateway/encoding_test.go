package gateway

import (
	"slices"
	"testing"

	"cardamompulley/fleet/balancer"
	"cardamompulley/fleet/locator"
)

func TestPlacementsRoundTrip(t *testing.T) {
	encoded := encodePlacements([]locator.Placement{{Part: 7, Endpoint: "e"}, {Part: 1<<32 - 1, Endpoint: "f"}})
	want := []peerPlacement{{7, balancer.CodeOf("e")}, {1<<32 - 1, balancer.CodeOf("f")}}
	if got := decodePlacements(encoded); !slices.Equal(got, want) {
		t.Fatalf("%v, want %v", got, want)
	}
	if got := decodePlacements(encoded[:placementBytes+3]); !slices.Equal(got, want[:1]) {
		t.Fatalf("%v from truncated bytes", got)
	}
}

func TestReportsRoundTrip(t *testing.T) {
	b, c, e := balancer.CodeOf("b"), balancer.CodeOf("c"), balancer.CodeOf("e")
	encoded := appendReport(nil, balancer.Report{Gateway: b, At: 400, Uses: []balancer.Use{{Endpoint: e, Running: 2}}}, 1000)
	if len(encoded) != balancer.ReportBytes+2*balancer.CodeBytes {
		t.Fatalf("%d bytes for two requests", len(encoded))
	}
	encoded = appendReport(encoded, balancer.Report{Gateway: c, At: 1000, Uses: []balancer.Use{{Endpoint: e, Running: 300}}}, 1000)
	// The receiver's clock may differ from the sender's, since only the age is encoded.
	got := decodeReports(encoded, 70_000)
	if len(got) != 2 || got[0].Gateway != b || got[0].At != 70_000-600 || len(got[0].Uses) != 2 || got[0].Uses[1].Endpoint != e {
		t.Fatalf("%+v", got)
	}
	if got[1].Gateway != c || got[1].At != 70_000 || len(got[1].Uses) != 255 {
		t.Fatalf("gateway %d at %d with %d requests", got[1].Gateway, got[1].At, len(got[1].Uses))
	}
	for cut := range encoded {
		if got := decodeReports(encoded[:cut], 0); len(got) > 1 {
			t.Fatalf("%d reports in %d bytes", len(got), cut)
		}
	}
}
