// Package throttler decides at a gateway which requests to a plain service are sent on now, which wait and which are refused. It answers
// surges in which a service gets more requests than its endpoints have slots for, the loss of a part of the endpoints, and endpoints
// that turn slow.
//
// Each gateway learns its room from its own requests: answers that come late or are rejected lower the limit on its requests under way,
// answers in time raise it while it binds. Without a shortage there is no limit.
package throttler
