package forwarder

import (
	"errors"
	"fmt"
	"net/http"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/retrier"
	"cardamompulley/platform"
	"cardamompulley/router/internal/connector"
	"cardamompulley/router/internal/dispatcher"
)

// Errors of an attempt.
var (
	errNoConnection      = errors.New("forwarder: the endpoint cannot be reached")
	errNoResponse        = errors.New("forwarder: the endpoint sent no answer, or what is none")
	errResponseMismatch  = errors.New("forwarder: the answer belongs to another request")
	errUnsigned          = errors.New("forwarder: the endpoint does not vouch for its answer")
	errNotRun            = errors.New("forwarder: the endpoint did not run the request")
	errEndpointError     = errors.New("forwarder: the endpoint failed the request")
	errResponseTruncated = errors.New("forwarder: the answer broke off")
	errEventTooLong      = errors.New("forwarder: an event of the stream does not end")
	errNotContinued      = errors.New("forwarder: the endpoint did not go on with the stream")
)

// sendToEndpoint sends the request to the chosen endpoint and relays the response. It returns nil if the request was served.
func (p *proxiedRequest) sendToEndpoint() *dispatcher.Failure {
	endpoint := p.choice.Endpoint
	conn, err := p.forwarder.pool.Get(p.ctx, endpoint.ID, endpoint.Address)
	if err != nil {
		if p.ctx.Err() == nil {
			p.forwarder.recordBreakerResult(endpoint.ID, false)
		}
		p.forwarder.RecordDialError(endpoint, err)

		return p.newFailure(&attemptError{errNoConnection, err}, retrier.AttemptFailure{})
	}
	if p.forwarder.wantsNoRequests(endpoint) {
		return p.skipEndpoint(conn)
	}
	p.endpointsReached++
	p.hasReached, p.retryTakenAt = true, 0
	sentAt := p.forwarder.clock.Now()
	response, err := conn.Send(p.endpointRequest())
	if err != nil {
		return p.failAfterSend(conn, &attemptError{errNoResponse, err})
	}
	// By the time this runs, the body has been read to its end or the connection is closed.
	defer func() { _ = response.Body.Close() }()
	metadata := platform.DecodeResponseMetadata(response.StatusCode, response.Header)
	if !p.isOwnResponse(conn, metadata.AttemptID) {
		return p.failAfterSend(conn, errResponseMismatch)
	}
	p.advertisedLimit = metadata.Limit
	p.endpointLoad = metadata.Load
	p.endpointLeaves, p.endpointBackoff = metadata.IsLeaving, metadata.Backoff
	p.forwarder.recordLimit(endpoint, metadata, sentAt)
	p.forwarder.recordNotices(endpoint, metadata)
	p.recordRejection(response.StatusCode, metadata)
	if metadata.IsMisdirected {
		// Another process has taken the endpoint's address, so the endpoint has ended.
		p.forwarder.recordCrash(endpoint)
	}
	if metadata.NotRun {
		p.recordRoomRejection(response.StatusCode)

		return p.failNotRun(conn, response)
	}
	p.recordRoomResponse(response.StatusCode)
	if response.StatusCode < 300 && (!metadata.IsSigned || metadata.AttemptID == "" || response.Header.Get("Content-Encoding") != "") {
		return p.failAfterSend(conn, errUnsigned)
	}

	return p.relayResponse(conn, response)
}

// isOwnResponse reports whether a response that names an attempt ID belongs to this request. One that names none may belong to an earlier
// request, unless the connection has carried no other.
func (p *proxiedRequest) isOwnResponse(conn *connector.Conn, id model.AttemptID) bool {
	return id == p.metadata.AttemptID || id == "" && !conn.IsReused
}

// newFailure returns the failure of an attempt. It is final if no other attempt can help.
func (p *proxiedRequest) newFailure(err error, failure retrier.AttemptFailure) *dispatcher.Failure {
	err = p.nameOwnEnd(err)
	failure.IsFinal = p.cannotRetry()
	refusal := model.NewRefusal(model.CodeEndpointFailed, "the endpoint did not serve the request: "+callerText(err)).
		WithRetryAfter(endpointFailureRetryAfter)
	if errors.Is(err, errShutdown) {
		refusal = shutdownRefusal()
	}

	return &dispatcher.Failure{AttemptFailure: failure, Refusal: refusal, Err: err}
}

// failAfterSend closes the connection and returns the failure of an attempt whose request may have run.
func (p *proxiedRequest) failAfterSend(conn *connector.Conn, err error) *dispatcher.Failure {
	conn.Close()
	if p.ctx.Err() == nil && (!conn.IsReused || errors.Is(err, connector.ErrHeadTooLong)) {
		p.forwarder.recordBreakerResult(p.choice.Endpoint.ID, false)
	}
	p.recordIncompleteResponse()

	return p.newFailure(err, retrier.AttemptFailure{ReachedEndpoint: true, MayHaveRun: true})
}

// releaseConn returns a connection to the pool if it can carry another request, else closes it. The response must have been
// read to its end.
func (p *proxiedRequest) releaseConn(conn *connector.Conn, response *http.Response) {
	if conn.IsReusableAfter(response) {
		p.forwarder.pool.Put(conn)
	} else {
		conn.Close()
	}
}

// failNotRun returns the failure of an attempt whose endpoint states that it did not run the request.
func (p *proxiedRequest) failNotRun(conn *connector.Conn, response *http.Response) *dispatcher.Failure {
	p.isAnswered = true
	if _, isComplete, err := readPrefix(response); isComplete && err == nil {
		p.releaseConn(conn, response)
	} else {
		conn.Close()
	}

	return p.newFailure(fmt.Errorf("%w: status %d", errNotRun, response.StatusCode), retrier.AttemptFailure{ReachedEndpoint: true})
}
