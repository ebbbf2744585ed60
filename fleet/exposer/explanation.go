package exposer

import "cardamompulley/fleet/model"

// Candidate is an endpoint at the head of a chat's home order. Running is the number of running requests, called busy in
// JSON.
type Candidate struct {
	ID      model.EndpointID `json:"id"`
	Domain  model.DomainID   `json:"domain"`
	Running int              `json:"busy"`
	State   string           `json:"state"`
}

// Explanation describes where a router would send a chat, and why. FirstTurnEndpoint is its choice for the first request
// of the chat, HomeEndpoint the first available endpoint of the home order. LoadLimit is the number of running requests
// at which an endpoint receives no more work.
type Explanation struct {
	Service           model.ServiceID  `json:"service"`
	MemberCount       int              `json:"members"`
	MeanLoad          float64          `json:"mean-load"`
	LoadLimit         int              `json:"limit"`
	HomeOrder         []Candidate      `json:"home-order"`
	HomeEndpoint      model.EndpointID `json:"home"`
	FirstTurnEndpoint model.EndpointID `json:"first-turn"`
	FirstTurnReason   string           `json:"first-turn-reason"`
}
