package spreader

import "testing"

func TestPickSpreadsOverTheGoodEnough(t *testing.T) {
	costs := []float64{0.5, 0.11, 0.1, 0.9, 0.12}
	counts := map[int]int{}
	for n := range 300 {
		counts[Pick(costs, 0.02, float64(n)/300)]++
	}
	if len(counts) != 3 || counts[1] != 100 || counts[2] != 100 || counts[4] != 100 {
		t.Errorf("picked %v, want 100 each of 1, 2 and 4", counts)
	}
	if i := Pick(costs, 0, 1); i != 2 {
		t.Errorf("picked %d at the upper end, want 2", i)
	}
}

func TestUnevenness(t *testing.T) {
	for _, c := range []struct {
		loads []float64
		want  float64
	}{
		{nil, 0}, {[]float64{0, 0}, 0}, {[]float64{2, 2}, 1}, {[]float64{3, 0, 0}, 3},
	} {
		if got := Unevenness(c.loads); got != c.want {
			t.Errorf("%v: %.2f, want %.2f", c.loads, got, c.want)
		}
	}
}
