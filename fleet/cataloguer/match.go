package cataloguer

import "strings"

// Match is what selects a route: a host and the prefix of a path, as they are compared with those of requests.
type Match struct {
	Host   string
	Prefix string
}

// Match returns what selects the route. Of routes with the same match, the first gets all requests.
func (r *Route) Match() Match {
	return Match{Host: strings.TrimSuffix(strings.ToLower(r.Host), "."), Prefix: escapePath(r.Prefix)}
}
