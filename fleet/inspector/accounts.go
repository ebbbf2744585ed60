package inspector

import (
	"fmt"
	"slices"
)

func (n *notes) inspectAccounts(d *Document) {
	if !d.RequiresKey {
		return
	}
	isPrivate := func(r Route) bool { return !r.IsPublic }
	hasPrivate := slices.ContainsFunc(d.Routes, isPrivate)
	names, holders := map[string]Place{}, map[string]Place{}
	for _, a := range d.Accounts {
		if a.Place.Name == "" {
			n.fail(a.Place, "the account has no name")
		} else {
			n.warnOfRepeat(names, a.Place, "another account has the same name")
		}
		if len(a.Keys) == 0 {
			n.warn(a.Place, "the account has no API key: no request can be its")
		} else if len(d.Routes) > 0 && !hasPrivate {
			n.warn(a.Place, "no route serves the account: all routes are public")
		}
		for _, key := range a.Keys {
			n.inspectKey(a.Place, key, holders)
		}
	}
	if hasPrivate && len(holders) == 0 {
		n.warn(Place{Kind: PlaceDocument}, "keys are required, but no account has one: routes that are not public answer 401")
	}
}

// inspectKey checks an API key; holders tells who holds the keys before it.
func (n *notes) inspectKey(p Place, key string, holders map[string]Place) {
	if key == "" {
		n.fail(p, "an API key is empty: requests without a key would be the account's")

		return
	}
	first, ok := holders[key]
	switch {
	case !ok:
		holders[key] = p
	case first == p:
		n.warn(p, fmt.Sprintf("the account holds the API key %s twice", ShortenKey(key)))
	default:
		n.fail(p, fmt.Sprintf("the API key %s is also held by %s: only the last holder counts", ShortenKey(key), first))
	}
}
