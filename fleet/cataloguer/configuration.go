package cataloguer

import (
	"cmp"
	"slices"
	"strings"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// Kind tells how often a request of a route may run.
type Kind string

// The kinds of route.
const (
	KindIdempotent Kind = "idempotent"
	KindOnce       Kind = "once"
	KindStream     Kind = "stream"
)

// Share is a service's part of the requests of a route.
type Share struct {
	Service model.ServiceID
	Weight  float64
}

// Route maps a host and a path prefix to services.
type Route struct {
	Name        string
	Host        string
	Prefix      string
	Kind        Kind
	Resumable   bool
	Public      bool
	Priority    int
	MaxAttempts int
	Timeout     timekeeper.Millis
	Objective   timekeeper.Millis
	Shares      []Share
}

// Repeatable tells whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || (r.Kind == KindStream && r.Resumable)
}

// Pick returns the service for a request; point is uniform in [0, 1).
func (r *Route) Pick(point float64) model.ServiceID {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	left := point * total
	for _, s := range r.Shares {
		if left < s.Weight {
			return s.Service
		}
		left -= s.Weight
	}
	if len(r.Shares) == 0 {
		return ""
	}

	return r.Shares[len(r.Shares)-1].Service
}

// Service is a configured service.
type Service struct {
	ID             model.ServiceID
	MaxConnections int
	// Engine is true for services of model engines.
	Engine        bool
	Slots         int
	CacheTokens   model.Tokens
	ColdSpan      timekeeper.Millis
	ColdPerSecond float64
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout timekeeper.Millis
	IdleTimeout   timekeeper.Millis
}

// Account is a client account; Ranked tells whether its priority goes before that of the route.
type Account struct {
	ID       model.AccountID
	Priority int
	Ranked   bool
}

// Configuration is one immutable version of the operators' configuration.
type Configuration struct {
	Version  model.Version
	Limits   Limits
	Services map[model.ServiceID]Service

	hosts    map[string][]Route
	accounts map[string]Account
	keyed    bool
}

// NewConfiguration indexes routes and keys; keyed is true when requests need a key.
func NewConfiguration(v model.Version, l Limits, routes []Route, services []Service, accounts map[string]Account, keyed bool) *Configuration {
	c := &Configuration{
		Version:  v,
		Limits:   l,
		Services: make(map[model.ServiceID]Service, len(services)),
		hosts:    map[string][]Route{},
		accounts: accounts,
		keyed:    keyed,
	}
	for _, s := range services {
		c.Services[s.ID] = s
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.hosts[host] = append(c.hosts[host], r)
	}
	for _, rs := range c.hosts {
		slices.SortStableFunc(rs, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}

	return c
}

// Route returns the route of the longest prefix that begins the path, or nil.
func (c *Configuration) Route(host, path string) *Route {
	host = strings.ToLower(host)
	rs, ok := c.hosts[host]
	if !ok {
		name, _, _ := strings.Cut(host, ":")
		rs = c.hosts[name]
	}
	for i := range rs {
		if strings.HasPrefix(path, rs[i].Prefix) {
			return &rs[i]
		}
	}

	return nil
}

// Account returns the client account of a key; ok is false for an unknown key where the route needs one.
func (c *Configuration) Account(r *Route, key string) (a Account, ok bool) {
	if !c.keyed || r.Public {
		return Account{}, true
	}
	a, ok = c.accounts[key]

	return a, ok
}
