package inspector

import (
	"strings"
	"testing"

	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

func split(ids ...model.ServiceID) []cataloguer.WeightedService {
	var s []cataloguer.WeightedService
	for _, id := range ids {
		s = append(s, cataloguer.WeightedService{Service: id, Weight: 1})
	}

	return s
}

// cleanDocument returns a document without findings.
func cleanDocument() *Document {
	return &Document{
		Version: 7,
		Routes: []Route{{
			Route: cataloguer.Route{
				Name: "r", Host: "h.example", Prefix: "/a/", Kind: cataloguer.KindIdempotent, MaxAttempts: 2,
				Timeout: 2 * timekeeper.Second, TargetLatency: timekeeper.Second, TrafficSplit: split("s"),
			},
			Place: Place{Kind: PlaceRoute, Name: "r", Line: 3}, KnowsKind: true, WrittenKind: "safe", Attempts: 2,
		}},
		Services: []Service{{
			Service: cataloguer.Service{
				ID: "s", MaxConnections: 8, IsEngine: true, Slots: 8, ColdDuration: timekeeper.Second, MaxColdRequestsPerSecond: 1,
			},
			Place: Place{Kind: PlaceService, Name: "s", Line: 5},
		}},
		Accounts:    []Account{{Place: Place{Kind: PlaceAccount, Name: "a", Line: 7}, Keys: []string{"key-of-a-0123456"}}},
		RequiresKey: true,
	}
}

// findingCase is a change of a clean document and the finding that it leads to.
type findingCase struct {
	change   func(d *Document)
	severity Severity
	place    string
	text     string
}

func checkFindings(t *testing.T, cases map[string]findingCase) {
	t.Helper()
	if fs := Inspect(cleanDocument()); len(fs) != 0 {
		t.Fatalf("findings on a clean document: %+v", fs)
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := cleanDocument()
			c.change(d)
			isFound, fs := false, Inspect(d)
			for _, f := range fs {
				if strings.Contains(f.Text, "key-of-a") {
					t.Errorf("an API key is shown: %q", f.Text)
				}
				isFound = isFound || f.Severity == c.severity && f.Place.String() == c.place && strings.Contains(f.Text, c.text)
			}
			if !isFound {
				t.Errorf("no %s at %q with %q among %+v", c.severity, c.place, c.text, fs)
			}
		})
	}
}

func TestInspectFindsRoutesThatCannotWork(t *testing.T) {
	checkFindings(t, map[string]findingCase{
		"no routes":       {func(d *Document) { d.Routes, d.Services, d.Accounts = nil, nil, nil }, SeverityWarning, "document", "no routes"},
		"no host":         {func(d *Document) { d.Routes[0].Host = "" }, SeverityError, "route r", "host is empty"},
		"prefix":          {func(d *Document) { d.Routes[0].Prefix = "/a" }, SeverityError, "route r", "slash"},
		"no name":         {func(d *Document) { d.Routes[0].Name, d.Routes[0].Place.Name = "", "" }, SeverityError, "route without a name", "no name"},
		"no service":      {func(d *Document) { d.Routes[0].TrafficSplit = split("s", "") }, SeverityError, "route r", "no service"},
		"unknown service": {func(d *Document) { d.Routes[0].TrafficSplit = split("s", "t") }, SeverityError, "route r", `"t" is not declared`},
		"service twice":   {func(d *Document) { d.Routes[0].TrafficSplit = split("s", "s") }, SeverityWarning, "route r", "split twice"},
		"negative weight": {func(d *Document) {
			s := split("s", "s")[:1]
			s[0].Weight = -1
			d.Routes[0].TrafficSplit = append(s, split("s")...)
		}, SeverityError, "route r", "is negative"},
		"no weight at all": {func(d *Document) { d.Routes[0].TrafficSplit[0].Weight = 0 }, SeverityError, "route r", "add up to nothing"},
		"weight zero":      {func(d *Document) { d.Routes[0].TrafficSplit[0].Weight = 0 }, SeverityWarning, "route r", "is zero"},
		"unknown kind":     {func(d *Document) { d.Routes[0].KnowsKind, d.Routes[0].WrittenKind = false, "sfae" }, SeverityError, "route r", `"sfae"`},
		"negative timeout": {func(d *Document) { d.Routes[0].Timeout = -1 }, SeverityError, "route r", "timeout is negative"},
		"negative target":  {func(d *Document) { d.Routes[0].TargetLatency = -1 }, SeverityError, "route r", "target latency is negative"},
		"negative tries":   {func(d *Document) { d.Routes[0].Attempts = -1 }, SeverityError, "route r", "attempts is negative"},
		"short timeout":    {func(d *Document) { d.Routes[0].Timeout = 999 }, SeverityWarning, "route r", "(999 ms) is shorter"},
		"once":             {func(d *Document) { d.Routes[0].Kind = cataloguer.KindOnce }, SeverityWarning, "route r", "2 attempts have no effect"},
		"resumable":        {func(d *Document) { d.Routes[0].IsResumable = true }, SeverityWarning, "route r", "only streams"},
		"same name":        {func(d *Document) { r := d.Routes[0]; r.Prefix = "/b/"; d.Routes = append(d.Routes, r) }, SeverityWarning, "route r", "same name"},
		"same match":       {func(d *Document) { r := d.Routes[0]; r.Host = "H.Example."; d.Routes = append(d.Routes, r) }, SeverityWarning, "route r", "no request can match"},
	})
}

func TestInspectFindsServicesThatCannotWork(t *testing.T) {
	checkFindings(t, map[string]findingCase{
		"declared twice": {func(d *Document) { d.Services = append(d.Services, d.Services[0]) }, SeverityError, "service s", "declared twice"},
		"unused": {func(d *Document) {
			s := d.Services[0]
			s.ID, s.Place.Name = "t", "t"
			d.Services = append(d.Services, s)
		}, SeverityWarning, "service t", "no route uses"},
		"unnamed service": {func(d *Document) { d.Services = append(d.Services, Service{Place: Place{Kind: PlaceService}}) }, SeverityError, "service without a name", "no name"},
		"connections":     {func(d *Document) { d.Services[0].MaxConnections = -1 }, SeverityError, "service s", "connections is negative"},
		"slots":           {func(d *Document) { d.Services[0].Slots = -1 }, SeverityError, "service s", "are negative"},
		"too many slots":  {func(d *Document) { d.Services[0].Slots = 9 }, SeverityWarning, "service s", "9 slots but takes only 8"},
		"cold length":     {func(d *Document) { d.Services[0].ColdDuration = -1 }, SeverityError, "service s", "length is negative"},
		"cold rate":       {func(d *Document) { d.Services[0].MaxColdRequestsPerSecond = -1 }, SeverityError, "service s", "cold start is negative"},
		"no cold rate":    {func(d *Document) { d.Services[0].MaxColdRequestsPerSecond = 0.5 }, SeverityWarning, "service s", "below one request"},
	})
}

func TestInspectFindsAccountsAndLimitsThatCannotWork(t *testing.T) {
	checkFindings(t, map[string]findingCase{
		"unnamed account": {func(d *Document) { d.Accounts[0].Place.Name = "" }, SeverityError, "account without a name", "no name"},
		"account twice":   {func(d *Document) { d.Accounts = append(d.Accounts, Account{Place: d.Accounts[0].Place}) }, SeverityWarning, "account a", "same name"},
		"no key":          {func(d *Document) { d.Accounts[0].Keys = nil }, SeverityWarning, "account a", "no API key"},
		"no key at all":   {func(d *Document) { d.Accounts = nil }, SeverityWarning, "document", "no account has one"},
		"empty key":       {func(d *Document) { d.Accounts[0].Keys[0] = "" }, SeverityError, "account a", "is empty"},
		"key twice":       {func(d *Document) { k := d.Accounts[0].Keys; d.Accounts[0].Keys = append(k, k...) }, SeverityWarning, "account a", "key-... twice"},
		"key of another": {func(d *Document) {
			d.Accounts = append(d.Accounts, Account{Place: Place{Kind: PlaceAccount, Name: "b"}, Keys: d.Accounts[0].Keys})
		}, SeverityError, "account b", "also held by account a"},
		"all public":      {func(d *Document) { d.Routes[0].IsPublic = true }, SeverityWarning, "account a", "all routes are public"},
		"negative size":   {func(d *Document) { d.LimitsPlace.Kind, d.Limits.MaxBodyBytes = PlaceLimits, -1 }, SeverityError, "limits", "size limit"},
		"negative limits": {func(d *Document) { d.LimitsPlace.Kind, d.Limits.IdleTimeout = PlaceLimits, -1 }, SeverityError, "limits", "timeout"},
	})
}

// What the check calls unreachable is what gateways never choose.
func TestRoutesOfOneMatchAreThoseThatGatewaysNeverChoose(t *testing.T) {
	for _, c := range [][4]string{
		{"h", "/a/", "H.", "/a/"}, {"h", "/a b/", "h", "/a%20b/"}, {"h", "/a/", "h", "/a/b/"}, {"h", "/a/", "h:80", "/a/"},
	} {
		first := cataloguer.Route{Name: "first", Host: c[0], Prefix: c[1]}
		second := cataloguer.Route{Name: "second", Host: c[2], Prefix: c[3]}
		conf := cataloguer.NewConfiguration(1, cataloguer.Limits{}, []cataloguer.Route{first, second}, nil, nil, false)
		chosen := conf.Route(second.Match().Host, second.Match().Prefix)
		if isSame := first.Match() == second.Match(); chosen == nil || isSame != (chosen.Name == "first") {
			t.Errorf("%q: same match %v, chosen %+v", c, isSame, chosen)
		}
	}
}

func TestCompareListsEveryDifference(t *testing.T) {
	entry := func(kind PlaceKind, name, value string) Entry {
		return Entry{Place: Place{Kind: kind, Name: name}, Fields: map[string]string{"f": value}}
	}
	inForce := &Document{
		Version:  7,
		Entries:  []Entry{entry(PlaceRoute, "same", "1"), entry(PlaceRoute, "r", "1"), entry(PlaceService, "gone", "1"), entry(PlaceAccount, "a", "1")},
		Accounts: []Account{{Keys: []string{"stays-0123456789", "leaves-012345678"}}},
	}
	next := &Document{
		Version:  8,
		Entries:  []Entry{entry(PlaceRoute, "r", "2"), entry(PlaceRoute, "same", "1"), entry(PlaceService, "new", "1"), entry(PlaceAccount, "a", "1")},
		Accounts: []Account{{Keys: []string{"comes-0123456789", "stays-0123456789"}}},
	}
	got, findings := Compare(inForce, next)
	want := []Difference{
		{Place{Kind: PlaceRoute, Name: "r"}, ChangeChanged, "f", "1", "2"},
		{Place{Kind: PlaceService, Name: "new"}, ChangeAdded, "", "", ""},
		{Place{Kind: PlaceService, Name: "new"}, ChangeAdded, "f", "", "1"},
		{Place{Kind: PlaceAccount, Name: "a"}, ChangeAdded, "key", "", "come..."},
		{Place{Kind: PlaceAccount, Name: "a"}, ChangeRemoved, "key", "leav...", ""},
		{Place{Kind: PlaceService, Name: "gone"}, ChangeRemoved, "", "", ""},
		{Place{Kind: PlaceService, Name: "gone"}, ChangeRemoved, "f", "1", ""},
	}
	if len(got) != len(want) {
		t.Fatalf("got %+v, want %+v", got, want)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Errorf("difference %d: got %+v, want %+v", i, got[i], want[i])
		}
	}
	if len(findings) != 0 {
		t.Errorf("findings on a higher version: %+v", findings)
	}
	if ds, fs := Compare(next, next); len(ds) != 0 || len(fs) != 1 || fs[0].Severity != SeverityWarning {
		t.Errorf("against itself: %+v, %+v; want one warning on the version", ds, fs)
	}
}

func TestShortenKeyShowsAQuarterAtMost(t *testing.T) {
	for key, want := range map[string]string{"": "...", "abc": "...", "abcdefgh": "ab...", strings.Repeat("x", 99): "xxxx..."} {
		if got := ShortenKey(key); got != want {
			t.Errorf("%q: got %q, want %q", key, got, want)
		}
	}
}
