package inspector

import (
	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/model"
)

// PlaceKind is the kind of an entry of a configuration.
type PlaceKind string

// Kinds of places.
const (
	PlaceDocument PlaceKind = "document"
	PlaceLimits   PlaceKind = "limits"
	PlaceRoute    PlaceKind = "route"
	PlaceService  PlaceKind = "service"
	PlaceAccount  PlaceKind = "account"
)

// Place names an entry of a configuration. Name is empty for the document and its limits, Line is zero if it is not known.
type Place struct {
	Kind PlaceKind `json:"kind"`
	Name string    `json:"name,omitempty"`
	Line int       `json:"line,omitempty"`
}

// String returns the place without its line.
func (p Place) String() string {
	if p.Name == "" && (p.Kind == PlaceDocument || p.Kind == PlaceLimits) {
		return string(p.Kind)
	}
	if p.Name == "" {
		return string(p.Kind) + " without a name"
	}

	return string(p.Kind) + " " + p.Name
}

// Route is a route as gateways decode it. Attempts is the number of attempts as written, Kind the kind as written.
type Route struct {
	cataloguer.Route
	Place       Place
	WrittenKind string
	KnowsKind   bool
	Attempts    int
}

// Service is a service as gateways decode it.
type Service struct {
	cataloguer.Service
	Place Place
}

// Account is a client account with its API keys.
type Account struct {
	Place Place
	Keys  []string
}

// Entry holds the fields of an entry as they are written, without API keys: the values in JSON by the names of the fields.
type Entry struct {
	Place  Place
	Fields map[string]string
}

// Document is a configuration with the places of its entries. RequiresKey is true if it declares client accounts.
type Document struct {
	Version     model.Version
	Limits      cataloguer.Limits
	LimitsPlace Place
	Routes      []Route
	Services    []Service
	Accounts    []Account
	RequiresKey bool
	Entries     []Entry
}
