package placer

import (
	"fmt"
	"testing"

	"cardamompulley/fleet/exchanger"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

func newTestGroup(size int) (*Group, *exchanger.Table) {
	g := &Group{AdmissionBound: DefaultAdmissionBound, LoadFloor: DefaultLoadFloor}
	var order []model.EndpointID
	for i := range size {
		id := model.EndpointID(fmt.Sprintf("e%03d", i))
		order = append(order, id)
		g.add(i, id, model.Endpoint{Domain: model.DomainID(fmt.Sprint(i % 5))}, true)
	}
	t := exchanger.NewTable()
	t.Reset(order)
	for i := range order {
		t.Observe(i, exchanger.Load{Running: 5, State: exchanger.StateWarm, ObservedAt: 1})
	}

	return g, t
}

func TestFlappingEndpointMovesOnlyItsOwnChats(t *testing.T) {
	const chats = 2000
	g, table := newTestGroup(20)
	p := NewPlacer("0", table)
	before := make([]int, chats)
	for c := range chats {
		before[c] = p.Home(g, model.ChatKey(c+1))
	}
	setState := func(state exchanger.State, at timekeeper.Millis) {
		table.Observe(7, exchanger.Load{Running: 5, State: state, ObservedAt: at})
	}
	setState(exchanger.StateDown, 2)
	for c := range chats {
		home := p.Home(g, model.ChatKey(c+1))
		if home == 7 || (before[c] != 7 && home != before[c]) {
			t.Fatalf("chat %d moved from member %d to %d while member 7 was down", c, before[c], home)
		}
	}
	setState(exchanger.StateWarm, 3)
	for c := range chats {
		if home := p.Home(g, model.ChatKey(c+1)); home != before[c] {
			t.Fatalf("chat %d did not return home: member %d, want %d", c, home, before[c])
		}
	}
}

func TestChooseSkipsUnavailableMembers(t *testing.T) {
	cases := map[string]func(g *Group, table *exchanger.Table, p *Placer){
		"down": func(_ *Group, t *exchanger.Table, _ *Placer) {
			t.Observe(0, exchanger.Load{State: exchanger.StateDown, ObservedAt: 2})
		},
		"leaving": func(_ *Group, t *exchanger.Table, _ *Placer) {
			t.Observe(0, exchanger.Load{State: exchanger.StateDraining, ObservedAt: 2})
		},
		"domain out": func(g *Group, _ *exchanger.Table, _ *Placer) { g.Members[0].isEnabled = false },
		"blocked":    func(_ *Group, _ *exchanger.Table, p *Placer) { p.IsBlocked = func(i int) bool { return i == 0 } },
	}
	for name, mask := range cases {
		t.Run(name, func(t *testing.T) {
			g, table := newTestGroup(2)
			p := NewPlacer("0", table)
			mask(g, table, p)
			for c := range 100 {
				for _, first := range []bool{true, false} {
					choice := p.Choose(g, &Request{Chat: model.ChatKey(c + 1), IsFirstTurn: first, Hint: 0})
					if choice.Member != 1 {
						t.Fatalf("chat %d went to member %d (%s), want 1", c, choice.Member, choice.Reason)
					}
				}
			}
		})
	}
}

func TestChooseDoesNotAllocate(t *testing.T) {
	g, table := newTestGroup(840)
	p := NewPlacer("0", table)
	request := &Request{Chat: 99, Hint: NoMember}
	if n := testing.AllocsPerRun(100, func() { p.Choose(g, request) }); n != 0 {
		t.Fatalf("%v allocations per call of Choose, want 0", n)
	}
}

func TestDefaultAdmissionBoundIsCappedByDeclaredLoadBound(t *testing.T) {
	cases := []struct{ declared, want float64 }{{0, DefaultAdmissionBound}, {1.2, 1.2}, {3, DefaultAdmissionBound}}
	for _, c := range cases {
		if got := defaultAdmissionBound(c.declared); got != c.want {
			t.Errorf("declared %v: admission bound %v, want %v", c.declared, got, c.want)
		}
	}
}

func BenchmarkChoose840(b *testing.B) {
	g, table := newTestGroup(840)
	p := NewPlacer("0", table)
	request := &Request{Chat: 99, Hint: NoMember}
	for b.Loop() {
		request.Chat++
		p.Choose(g, request)
	}
}
