package prioritizer

import (
	"math"
	"slices"
	"testing"

	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/model"
)

const testService model.ServiceID = "lm"

// newTestConfiguration returns a configuration with a route of each priority to one service.
func newTestConfiguration(accounts map[string]cataloguer.Account, priorities ...int) *cataloguer.Configuration {
	routes := make([]cataloguer.Route, 0, len(priorities))
	for _, p := range priorities {
		routes = append(routes, cataloguer.Route{Priority: p, TrafficSplit: []cataloguer.WeightedService{{Service: testService, Weight: 1}}})
	}

	return cataloguer.NewConfiguration(1, cataloguer.Limits{}, routes, nil, accounts, accounts != nil)
}

func newTestScale(priorities ...int) Scale {
	return NewScale(newTestConfiguration(nil, priorities...), testService)
}

func TestPriorityOfAccountPrecedesThatOfRoute(t *testing.T) {
	for _, c := range []struct {
		name    string
		route   int
		account cataloguer.Account
		want    Priority
	}{
		{"route", 2, cataloguer.Account{ID: "a", Priority: 7}, 2},
		{"account", 2, cataloguer.Account{ID: "a", Priority: 0, HasPriority: true}, 0},
		{"negative", -7, cataloguer.Account{}, MostUrgent},
		{"least", math.MinInt, cataloguer.Account{}, MostUrgent},
		{"huge", math.MaxInt, cataloguer.Account{}, LeastUrgent},
	} {
		if got := Of(&cataloguer.Route{Priority: c.route}, c.account); got != c.want {
			t.Errorf("%s: priority %d, want %d", c.name, got, c.want)
		}
	}
}

// Equal priorities change nothing: no header, no reserved part of the retry budget.
func TestScaleIsUniformUnlessRequestsDiffer(t *testing.T) {
	plain := cataloguer.Account{ID: "a"}
	urgent := cataloguer.Account{ID: "b", HasPriority: true}
	for _, c := range []struct {
		name      string
		scale     Scale
		isUniform bool
	}{
		{"one priority", newTestScale(2, 2), true},
		{"no route", newTestScale(), true},
		{"equal after clamping", newTestScale(-3, 0), true},
		{"two routes", newTestScale(0, 1), false},
		{"account", NewScale(newTestConfiguration(map[string]cataloguer.Account{"k": plain, "l": urgent}, 2), testService), false},
		{"accounts override all", NewScale(newTestConfiguration(map[string]cataloguer.Account{"l": urgent}, 2, 3), testService), true},
		{"other service", NewScale(newTestConfiguration(nil, 0, 1), "other"), true},
	} {
		if got := c.scale.IsUniform(); got != c.isUniform {
			t.Errorf("%s: uniform %t, want %t", c.name, got, c.isUniform)
		}
	}
}

// Whatever the configuration holds, levels are an engine's and keep the order of the priorities. A request beyond its account's share comes
// no sooner than those within, before less urgent ones that differ in level, and one beyond the usual after all others.
func TestLevelsKeepTheOrder(t *testing.T) {
	for _, numbers := range [][]int{{0, 1}, {0, 1, 2}, {-5, 3, 4, 900}, {0, 1, 2, 3, 4}, {math.MinInt, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, math.MaxInt}} {
		s := newTestScale(numbers...)
		var levels, last []EngineLevel
		for _, n := range numbers {
			levels = append(levels, s.level(clamp(n), withinShare), s.level(clamp(n), beyondShare))
			last = append(last, s.level(clamp(n), beyondUsual))
		}
		levels = append(levels, last...)
		if !slices.IsSorted(levels) || levels[0] != 0 || last[len(last)-1] >= engineLevels {
			t.Errorf("%v: levels %v", numbers, levels)
		}
		if within := s.level(clamp(numbers[len(numbers)-1]), beyondShare); within == 0 || within >= last[0] || last[0] == last[len(last)-1] {
			t.Errorf("%v: levels %v do not tell the priorities apart", numbers, levels)
		}
	}
}

// Regular patterns of requests, such as those of one account or session, get their part of the promotions.
func TestPromotionsSpareNoRegularPattern(t *testing.T) {
	const requests = 20_000
	for period := 1; period <= 40; period++ {
		for offset := range period {
			var r rotation
			promoted, sent := 0, 0
			for n := range requests {
				isPromoted := r.next()
				if n%period != offset {
					continue
				}
				sent++
				if isPromoted {
					promoted++
				}
			}
			if share := float64(promoted) / float64(sent); share < promotedShare/2 || share > 1.5*promotedShare {
				t.Errorf("each %d. request from the %d. on: %.3f promoted, want about a tenth", period, offset, share)
			}
		}
	}
}
