package forwarder

import (
	"context"

	"github.com/cespare/xxhash/v2"

	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/hasher"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/quarantiner"
)

// prepare finds the request's route, client account and service and reads its body. It refuses requests that are not to be
// forwarded.
func (p *proxiedRequest) prepare() *model.Refusal {
	p.view = p.forwarder.CurrentView()
	if p.view == nil {
		return p.notReadyRefusal()
	}
	if p.metadataErr != nil {
		return model.NewRefusal(model.CodeBadRequest, p.metadataErr.Error())
	}
	if refusal := p.admit(); refusal != nil {
		return refusal
	}
	p.header = endToEndHeaders(p.request.Header)
	if refusal := p.readBody(); refusal != nil {
		return refusal
	}
	if refusal := p.admitAgain(); refusal != nil {
		return refusal
	}
	if p.route.IsResumable {
		p.forwarder.recordCallerTimeout(p.service, p.callerTimeLeft())
	}
	p.suspects = p.findSuspects()
	p.recordPartOwner()
	if refusal := p.checkQuarantine(); refusal != nil {
		return refusal
	}
	if p.route.Kind == cataloguer.KindStream && p.metadata.LastEventID != "" {
		return p.findOrigin()
	}

	return nil
}

// admit finds the request's route, client account, deadline and service in the view.
func (p *proxiedRequest) admit() *model.Refusal {
	route, err := p.target.findRoute(p.view.Configuration)
	if err != nil {
		return model.NewRefusal(model.CodeBadRequest, err.Error())
	}
	if route == nil {
		return model.NewRefusal(model.CodeUnknownService, "no route has this host and path")
	}
	account, ok := p.view.Configuration.Account(route, p.metadata.APIKey)
	if !ok {
		return model.NewRefusal(model.CodeUnauthorized, "no client account has this key")
	}
	p.route, p.account = route, account
	p.setDeadline()
	p.service = p.route.PickService(p.trafficSplitPoint())

	return nil
}

// admitAgain admits the request by the configuration that is in force when its body has arrived.
func (p *proxiedRequest) admitAgain() *model.Refusal {
	earlier := p.view.Configuration
	p.view = p.forwarder.CurrentView()
	if p.view.Configuration == earlier {
		return nil
	}

	return p.admit()
}

// findSuspects returns what may crash an endpoint in the request: the request as a whole, and each part of its prompt that other
// requests can share.
func (p *proxiedRequest) findSuspects() []quarantiner.Suspect {
	suspects := []quarantiner.Suspect{
		quarantiner.NewRequestSuspect(p.request.Method, p.target.host, p.target.uri, p.account.ID, p.body),
	}
	for _, part := range p.metadata.PartsBeforeLast() {
		suspects = append(suspects, quarantiner.NewPartSuspect(p.metadata.Model, part.ID))
	}

	return suspects
}

// checkQuarantine refuses a request if something in it has crashed the endpoints that ran it.
func (p *proxiedRequest) checkQuarantine() *model.Refusal {
	suspect, retryAfter, isQuarantined := p.forwarder.quarantinedSuspect(p.suspects)
	if !isQuarantined {
		return nil
	}
	detail := "the request has crashed the endpoints that ran it"
	if suspect.Kind == quarantiner.KindPart {
		detail = "requests with a part of this prompt have crashed the endpoints that ran them"
	}

	return model.NewRefusal(model.CodeRequestQuarantined, detail).WithRetryAfter(retryAfter)
}

// setDeadline sets the request's deadline to the caller's timeout or the route's, whichever is shorter.
func (p *proxiedRequest) setDeadline() {
	timeout := p.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if p.metadata.Timeout > 0 {
		timeout = min(timeout, p.metadata.Timeout)
	}
	p.deadline = p.arrivedAt + timeout
	p.cancel()
	ctx, cancel := context.WithTimeout(p.request.Context(), (p.deadline - p.forwarder.clock.Now()).Duration())
	stop := context.AfterFunc(p.forwarder.shutdown.ending, cancel)
	p.ctx, p.cancel = ctx, func() {
		stop()
		cancel()
	}
}

// trafficSplitPoint returns a number in [0, 1) that selects one of the route's services. It is the same for all requests of
// a session, so that a session stays with one service.
func (p *proxiedRequest) trafficSplitPoint() float64 {
	hash := p.metadata.SessionID()
	if hash == 0 {
		hash = xxhash.Sum64String(string(p.metadata.AttemptID))
	}

	return float64(hasher.Mix(hash^xxhash.Sum64String(p.route.Name))>>11) / (1 << 53)
}
