package exposer

import "cardamompulley/fleet/model"

// Candidate is one member at the head of a chat's home order.
type Candidate struct {
	ID     model.EndpointID `json:"id"`
	Domain model.DomainID   `json:"domain"`
	Busy   int              `json:"busy"`
	State  string           `json:"state"`
}

// Explanation tells where a router would send a chat, and why.
type Explanation struct {
	Service         model.ServiceID  `json:"service"`
	Members         int              `json:"members"`
	MeanLoad        float64          `json:"mean-load"`
	Limit           int              `json:"limit"`
	HomeOrder       []Candidate      `json:"home-order"`
	Home            model.EndpointID `json:"home"`
	FirstTurn       model.EndpointID `json:"first-turn"`
	FirstTurnReason string           `json:"first-turn-reason"`
}
