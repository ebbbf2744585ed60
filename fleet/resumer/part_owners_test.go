package resumer

import "testing"

func TestPartsAreOwnOnlyIfNoTwoRequestsShareOne(t *testing.T) {
	cases := []struct {
		name string
		// parts holds the last part of each request, by the request's number.
		parts   func(n uint64) (part, request uint64)
		count   uint64
		want    bool
		repeats uint64
	}{
		{"too few requests", func(n uint64) (uint64, uint64) { return n, n }, minPartOwners - 1, false, 1},
		{"just enough requests", func(n uint64) (uint64, uint64) { return n, n }, minPartOwners, true, 1},
		{"a part each", func(n uint64) (uint64, uint64) { return n, n }, 8, true, 1},
		{"a part each, every request twice", func(n uint64) (uint64, uint64) { return n, n }, 8, true, 2},
		{"one part for two requests", func(n uint64) (uint64, uint64) { return n / 2, n }, 8, false, 1},
		{"one part for all", func(n uint64) (uint64, uint64) { return 1, n }, 100, false, 1},
		{"very many", func(n uint64) (uint64, uint64) { return n, n }, 3 * maxPartOwners, true, 1},
	}
	for _, c := range cases {
		var o PartOwners
		for n := range c.count * c.repeats {
			o.Record(c.parts(n % c.count))
		}
		if got := o.AreOwn(); got != c.want {
			t.Errorf("%s: own: %v, want %v", c.name, got, c.want)
		}
		if len(o.owners) > maxPartOwners {
			t.Errorf("%s: %d parts are remembered", c.name, len(o.owners))
		}
	}
}
