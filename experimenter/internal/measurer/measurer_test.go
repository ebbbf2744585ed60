package measurer

import (
	"testing"

	"cardamompulley/fleet/placer"
)

func rowsOf(t *testing.T, p Policy, scenarios []Scenario, seeds uint64) []Row {
	t.Helper()
	var rows []Row
	for _, d := range Deployments()[:2] {
		for _, s := range scenarios {
			for seed := range seeds {
				row, err := measureSeeded(task{d, s, p}, seed+1)
				if err != nil {
					t.Fatal(err)
				}
				rows = append(rows, row)
			}
		}
	}

	return rows
}

func TestLoadStaysUnderTheDeclaredBound(t *testing.T) {
	fleet := Bounded(placer.DefaultAdmissionBound)[1]
	for _, r := range rowsOf(t, fleet, []Scenario{Steady(), Churn(), DomainOutAndBack(), Surge()}, 4) {
		if r.OverBound > 0 {
			t.Errorf("%s, %s: %d seconds over the declared bound, worst %.2f", r.Deployment, r.Scenario, r.OverBound, r.SkewWorst)
		}
		if r.ColdOver > 0 {
			t.Errorf("%s, %s: %d starts over the cold limit", r.Deployment, r.Scenario, r.ColdOver)
		}
	}
}

func TestPlainRendezvousBreaksTheDeclaredBound(t *testing.T) {
	over := 0
	for _, r := range rowsOf(t, Unbounded()[2], []Scenario{Steady()}, 1) {
		over += r.OverBound
	}
	if over == 0 {
		t.Fatal("the naive variant kept the bound")
	}
}

// frontier is the mean reuse and skew of a policy at each bound of the sweep.
func frontier(t *testing.T, which int) []Row {
	t.Helper()
	var points []Row
	for _, bound := range sweep {
		rows := rowsOf(t, Bounded(bound)[which], []Scenario{Steady()}, 2)
		var mean Row
		for _, r := range rows {
			mean.Reuse += r.Reuse / float64(len(rows))
			mean.SkewP99 += r.SkewP99 / float64(len(rows))
		}
		points = append(points, mean)
	}

	return points
}

// reuseAt interpolates the reuse that a frontier reaches at a skew.
func reuseAt(points []Row, skew float64) float64 {
	if skew <= points[0].SkewP99 {
		return points[0].Reuse
	}
	for i := 1; i < len(points); i++ {
		a, b := points[i-1], points[i]
		if skew <= b.SkewP99 {
			return a.Reuse + (b.Reuse-a.Reuse)*(skew-a.SkewP99)/(b.SkewP99-a.SkewP99)
		}
	}

	return points[len(points)-1].Reuse
}

func TestFleetIsOnTheFrontier(t *testing.T) {
	const (
		leastGain = 0.05
		at        = 1
	)
	baseline, fleet := frontier(t, 0), frontier(t, 1)
	gain := fleet[at].Reuse - reuseAt(baseline, fleet[at].SkewP99)
	t.Logf("at skew %.2f: reuse %.3f, %.3f more than bounded rendezvous", fleet[at].SkewP99, fleet[at].Reuse, gain)
	if gain < leastGain {
		t.Errorf("gain %.3f at equal skew", gain)
	}
}
