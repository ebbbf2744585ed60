package balancer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// Obstacle is a reason for which an endpoint cannot take a request now. Refusals name the obstacles of all endpoints.
type Obstacle string

// The obstacles, in the order in which they are looked for.
const (
	// ObstacleNone means that the endpoint can take the request.
	ObstacleNone Obstacle = ""
	// ObstacleDraining means that the endpoint drains.
	ObstacleDraining Obstacle = "draining"
	// ObstacleDomainOut means that operators have taken the endpoint's failure domain out of service.
	ObstacleDomainOut Obstacle = "domain-out"
	// ObstacleTried means that the endpoint has failed the request.
	ObstacleTried Obstacle = "tried"
	// ObstacleSoftware means that the endpoint runs another software version than the request is for.
	ObstacleSoftware Obstacle = "software"
	// ObstacleConnections means that the gateway uses its share of the endpoint's connections.
	ObstacleConnections Obstacle = "connections"
	// ObstacleBackoff means that the endpoint has asked this gateway for a backoff that is not over.
	ObstacleBackoff Obstacle = "backoff"
	// ObstacleLimit means that the gateway has used its share of the request rate that the endpoint advertises.
	ObstacleLimit Obstacle = "limit"
	// ObstacleCold means that the gateway has used its share of the requests that a cold endpoint takes.
	ObstacleCold Obstacle = "cold"
	// ObstacleLeaving means that the endpoint has said itself that it leaves.
	ObstacleLeaving Obstacle = "leaving"
	// ObstacleFull means that all slots of the endpoint are in use while others cannot take requests because of their limits.
	ObstacleFull Obstacle = "full"
)

const (
	// coldRetryAfter is sent if a cold endpoint has no quota left, noEndpointRetryAfter if no endpoint is available.
	coldRetryAfter       = 300 * timekeeper.Millis(1)
	noEndpointRetryAfter = 500 * timekeeper.Millis(1)
	// minLimitRetryAfter and maxLimitRetryAfter bound the Retry-After sent if endpoints take no more requests a second. Another
	// gateway, to which the caller may come, can have a larger share.
	minLimitRetryAfter = 50 * timekeeper.Millis(1)
	maxLimitRetryAfter = 2 * timekeeper.Second
	// backoffJitter keeps callers apart that are refused at the same moment of a backoff.
	backoffJitter = 300 * timekeeper.Millis(1)
)

// obstacleCheck is what a check of the endpoints of a service for one request has in common.
type obstacleCheck struct {
	view    *cataloguer.View
	service cataloguer.Service
	request *Request
	now     timekeeper.Millis
	// sharers are the gateways among which limits of the whole fleet are divided.
	sharers []string
	// maxRunning is the number of requests that this gateway may run at an endpoint.
	maxRunning int
}

// findObstacle returns why an endpoint cannot take a request, and for how long as far as that is known.
func (b *Balancer) findObstacle(k *obstacleCheck, c *candidate, s *endpointState) (Obstacle, timekeeper.Millis) {
	e := c.endpoint
	switch {
	case e.IsDraining:
		return ObstacleDraining, 0
	case k.view.DomainsOut[e.Domain]:
		return ObstacleDomainOut, 0
	case contains(k.request.Tried, e.ID):
		return ObstacleTried, 0
	case k.request.Software != "" && b.SoftwareOf(e, k.now) != k.request.Software:
		return ObstacleSoftware, 0
	case s.running >= k.maxRunning:
		return ObstacleConnections, 0
	}
	if b.Notices.BackoffLeft(e.Process(), k.now) > 0 {
		return ObstacleBackoff, b.Notices.ReturnAfter(e.Process(), k.now)
	}
	if wait := b.Limits.Wait(e.Process(), k.sharers, k.now); wait > 0 {
		return ObstacleLimit, wait
	}
	if e.ColdUntil > k.now && !b.hasColdQuota(k, e) {
		return ObstacleCold, 0
	}
	// Looked for last, because an endpoint that leaves may be the last resort if nothing else keeps it from taking the request.
	if b.Notices.IsLeaving(e.Process()) {
		return ObstacleLeaving, 0
	}

	return ObstacleNone, 0
}

func (b *Balancer) hasColdQuota(k *obstacleCheck, e *cataloguer.Endpoint) bool {
	share := b.coldStarts.Share(e.ID, k.service.MaxColdRequestsPerSecond, k.sharers)

	return b.coldStarts.HasQuota(e.ID, share, k.now)
}

// obstacleCount counts the endpoints of a service by what keeps them from taking a request.
type obstacleCount struct {
	endpoints map[Obstacle]int
	// limitWait is the shortest time until an endpoint with ObstacleLimit takes a request, backoffWait the one after which a caller should
	// come back to one with ObstacleBackoff.
	limitWait   timekeeper.Millis
	backoffWait timekeeper.Millis
}

func (o *obstacleCount) add(reason Obstacle, wait timekeeper.Millis) {
	if o.endpoints == nil {
		o.endpoints = map[Obstacle]int{}
	}
	if reason == ObstacleLimit && (!o.has(ObstacleLimit) || wait < o.limitWait) {
		o.limitWait = wait
	}
	if reason == ObstacleBackoff && (!o.has(ObstacleBackoff) || wait < o.backoffWait) {
		o.backoffWait = wait
	}
	o.endpoints[reason]++
}

func (o *obstacleCount) has(reason Obstacle) bool {
	return o.endpoints[reason] > 0
}

// areAll reports whether all endpoints have one of the obstacles.
func (o *obstacleCount) areAll(reasons ...Obstacle) bool {
	for reason := range o.endpoints {
		if !slices.Contains(reasons, reason) {
			return false
		}
	}

	return true
}

// refusal returns the refusal of a request that no endpoint can take. Its code says so if no endpoint runs the software version
// that the request is for, other than endpoints that drain. If all endpoints leave or none is there, nothing tells when another one comes.
func (o *obstacleCount) refusal(id model.ServiceID) *model.Refusal {
	detail := fmt.Sprintf("no endpoint of %s can take the request%s", id, o.summary())

	code := model.CodeNoEndpoint
	if o.has(ObstacleSoftware) && o.areAll(ObstacleSoftware, ObstacleDraining, ObstacleLeaving) {
		code = model.CodeSoftwareGone
	}

	refusal := model.NewRefusal(code, detail).WithRetryAfter(o.retryAfter())
	if o.areAll(ObstacleDraining, ObstacleDomainOut, ObstacleSoftware, ObstacleLeaving) {
		return refusal.AsUnforeseen()
	}

	return refusal
}

// summary returns the numbers of endpoints by obstacle, or nothing if the service has no endpoint.
func (o *obstacleCount) summary() string {
	var parts []string
	for reason, n := range o.endpoints {
		parts = append(parts, fmt.Sprintf("%s %d", reason, n))
	}
	if len(parts) == 0 {
		return ""
	}
	slices.Sort(parts)

	return ": " + strings.Join(parts, ", ")
}

// retryAfter returns how long a caller should wait before a retry. While all endpoints that stay have asked for a backoff, that is until
// the first one ends.
func (o *obstacleCount) retryAfter() timekeeper.Millis {
	if !o.has(ObstacleBackoff) {
		return o.retryAfterOthers()
	}
	if o.areAll(ObstacleBackoff, ObstacleDraining, ObstacleLeaving, ObstacleSoftware, ObstacleTried) {
		return o.backoffWait + rand.N(backoffJitter)
	}

	return min(o.backoffWait, o.retryAfterOthers())
}

// retryAfterOthers returns how long a caller should wait for the other endpoints.
func (o *obstacleCount) retryAfterOthers() timekeeper.Millis {
	switch {
	case o.has(ObstacleLimit):
		return min(max(o.limitWait, minLimitRetryAfter), maxLimitRetryAfter)
	case o.has(ObstacleCold):
		return coldRetryAfter
	default:
		return noEndpointRetryAfter
	}
}
