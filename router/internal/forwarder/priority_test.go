package forwarder

import (
	"net/http"
	"testing"

	"cardamompulley/fleet/cataloguer"
)

// newPriorityForwarder returns a forwarder to one endpoint, with a route for each priority; their hosts are a, b and so on.
func newPriorityForwarder(address string, isEngine bool, account cataloguer.Account, priorities ...int) *Forwarder {
	f := newTestForwarder(address)
	f.Prioritizes = true
	split := []cataloguer.WeightedService{{Service: "s", Weight: 1}}
	var routes []cataloguer.Route
	for i, p := range priorities {
		routes = append(routes, cataloguer.Route{
			Name: "r", Host: string(rune('a' + i)), Prefix: "/", Kind: cataloguer.KindOnce, Priority: p, TrafficSplit: split,
		})
	}
	services := []cataloguer.Service{{ID: "s", IsEngine: isEngine}}
	accounts := map[string]cataloguer.Account{"": account}
	c := cataloguer.NewConfiguration(1, cataloguer.Limits{}, routes, services, accounts, true)
	endpoint := &cataloguer.Endpoint{ID: "e", Service: "s", Domain: "d", Address: address}
	view := cataloguer.NewView(c, nil, []*cataloguer.Endpoint{endpoint}, f.clock.Now())
	f.CurrentView = func() *cataloguer.View { return view }

	return f
}

// priorityOf returns the priority header that an endpoint gets with a request to the first of some routes.
func priorityOf(t *testing.T, prioritizes, isEngine bool, account cataloguer.Account, priorities ...int) []string {
	t.Helper()
	requests := make(chan *http.Request, 1)
	script := make(chan string, 1)
	script <- "HTTP/1.1 200 OK\r\nCardamompulley-Attempt-Id: a\r\nCardamompulley-Response-Signature: s\r\nContent-Length: 2\r\n\r\nok"
	f := newPriorityForwarder((&scriptedEndpoint{script: script, closes: true, requests: requests}).start(t), isEngine, account, priorities...)
	f.Prioritizes = prioritizes
	if w, isWhole := serve(f, "a"); !isWhole || w.Code != http.StatusOK {
		t.Fatalf("status %d, whole %t", w.Code, isWhole)
	}

	return (<-requests).Header["Cardamompulley-Request-Priority"]
}

func TestEnginesAreToldPrioritiesThatDiffer(t *testing.T) {
	plain := cataloguer.Account{ID: "x"}
	urgent := cataloguer.Account{ID: "x", Priority: 0, HasPriority: true}
	for _, c := range []struct {
		name        string
		prioritizes bool
		isEngine    bool
		account     cataloguer.Account
		priorities  []int
		want        string
	}{
		{"least urgent of three", true, true, plain, []int{9, 1, 2}, "4"},
		{"most urgent of three", true, true, plain, []int{1, 9, 2}, "0"},
		{"below zero and huge", true, true, plain, []int{-9, 1 << 40}, "0"},
		{"equal", true, true, plain, []int{3, 3}, ""},
		{"account overrides all routes", true, true, urgent, []int{9, 1}, ""},
		{"switched off", false, true, plain, []int{9, 1}, ""},
		{"plain service", true, false, plain, []int{9, 1}, ""},
	} {
		got := priorityOf(t, c.prioritizes, c.isEngine, c.account, c.priorities...)
		if want := c.want; len(got) > 1 || want == "" && len(got) > 0 || want != "" && (len(got) != 1 || got[0] != want) {
			t.Errorf("%s: priority %q, want %q", c.name, got, want)
		}
	}
}

// Engines that reject requests because they are full are a shortage; one that leaves, or that limits its rate, is not.
func TestRejectionsAreAShortage(t *testing.T) {
	const rejections = 5
	for name, c := range map[string]struct {
		header  string
		isShort bool
	}{
		"full":    {"", true},
		"leaving": {"Server-Leaving: 1\r\n", false},
		"limited": {"Server-Limit: 1000\r\n", false},
	} {
		var script []string
		for range rejections {
			script = append(script, "HTTP/1.1 503 Full\r\nCardamompulley-Attempt-Id: a\r\nCardamompulley-Not-Executed: 1\r\nConnection: close\r\n"+c.header+"Content-Length: 0\r\n\r\n")
		}
		f := newPriorityForwarder(listenWithAnswers(t, true, script...), true, cataloguer.Account{ID: "x"}, 0, 1)
		for range rejections {
			if w, _ := serve(f, "a"); w.Code != http.StatusServiceUnavailable {
				t.Errorf("%s: status %d", name, w.Code)
			}
		}
		if got := f.prioritizer.IsShort("s"); got != c.isShort {
			t.Errorf("%s: short %t, want %t", name, got, c.isShort)
		}
	}
}
