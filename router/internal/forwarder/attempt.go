package forwarder

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"strconv"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/retrier"
	"cardamompulley/platform"
	"cardamompulley/router/internal/connector"
	"cardamompulley/router/internal/dispatcher"
)

// maxBufferedBytes is the size up to which a response is read to its end before it is relayed. A larger response is relayed
// as it arrives.
const maxBufferedBytes = 64 << 10

// Errors of an attempt.
var (
	errResponseMismatch  = errors.New("forwarder: the answer belongs to another request")
	errUnsigned          = errors.New("forwarder: the endpoint does not vouch for its answer")
	errNotRun            = errors.New("forwarder: the endpoint did not run the request")
	errEndpointError     = errors.New("forwarder: the endpoint failed the request")
	errResponseTruncated = errors.New("forwarder: the stream broke off")
	errEventTooLong      = errors.New("forwarder: an event of the stream does not end")
	errNotContinued      = errors.New("forwarder: the endpoint did not go on with the stream")
)

// bufferedResponse is an endpoint's response that was read to its end.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
	// length is the length that the response states, negative if none; that of a response to HEAD is not that of its body.
	length int
	// isFramed is true if the end of the response shows that it is whole.
	isFramed bool
}

// isFramed reports whether a response has a length or chunks, so that its end shows whether it is whole. Any other response ends
// with its connection, as it also does when its endpoint crashes.
func isFramed(r *http.Response) bool {
	return r.ContentLength >= 0 || len(r.TransferEncoding) > 0
}

// sendToEndpoint sends the request to the chosen endpoint and relays the response. It returns nil if the request was served.
func (p *proxiedRequest) sendToEndpoint() *dispatcher.Failure {
	endpoint := p.choice.Endpoint
	conn, err := p.forwarder.pool.Get(p.ctx, endpoint.ID, endpoint.Address)
	if err != nil {
		if p.ctx.Err() == nil {
			p.forwarder.recordBreakerResult(endpoint.ID, false)
		}
		p.forwarder.RecordDialError(endpoint, err)

		return p.newFailure(err, retrier.AttemptFailure{})
	}
	if p.forwarder.wantsNoRequests(endpoint) {
		return p.skipEndpoint(conn)
	}
	p.endpointsReached++
	p.hasReached, p.retryTakenAt = true, 0
	sentAt := p.forwarder.clock.Now()
	response, err := conn.Send(p.endpointRequest())
	if err != nil {
		return p.failAfterSend(conn, err)
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
	refusal := model.NewRefusal(model.CodeEndpointFailed, "the endpoint did not serve the request: "+err.Error()).
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

// readPrefix reads the start of a response and reports whether that is all of it. Responses of up to maxBufferedBytes are
// complete.
func readPrefix(response *http.Response) (prefix []byte, isComplete bool, err error) {
	prefix, err = io.ReadAll(io.LimitReader(response.Body, maxBufferedBytes+1))

	return prefix, len(prefix) <= maxBufferedBytes, err
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

// relayResponse relays the endpoint's response to the caller, or returns a failure if it is an error or is truncated.
func (p *proxiedRequest) relayResponse(conn *connector.Conn, response *http.Response) *dispatcher.Failure {
	mediaType, _, _ := mime.ParseMediaType(response.Header.Get("Content-Type"))
	// Once events have been relayed, the caller can take nothing but more of them.
	if p.stream.hasStarted && (mediaType != "text/event-stream" || response.StatusCode != http.StatusOK) {
		return p.failContinuation(conn, response.StatusCode)
	}
	if mediaType == "text/event-stream" && response.StatusCode < 300 && p.request.Method != http.MethodHead {
		return p.relayStream(conn, response)
	}
	prefix, isComplete, err := readPrefix(response)
	if err != nil || len(prefix) == 0 && p.lacksBody(response) {
		return p.failAfterSend(conn, errResponseTruncated)
	}
	if !isComplete && impliesNotRun(response.StatusCode) {
		return p.failAfterSend(conn, errEndpointError)
	}
	if !isComplete {
		return p.relayLarge(conn, response, prefix)
	}
	p.isAnswered = isFramed(response)
	p.releaseConn(conn, response)
	p.forwarder.recordBreakerResult(p.choice.Endpoint.ID, true)
	buffered := &bufferedResponse{
		status: response.StatusCode, header: endToEndHeaders(response.Header), body: prefix, length: p.statedLength(response, len(prefix)),
		isFramed: isFramed(response),
	}
	if buffered.status >= http.StatusInternalServerError || impliesNotRun(buffered.status) {
		p.errorResponse = buffered
		p.recordErrorResponse()

		return p.newFailure(fmt.Errorf("%w: status %d", errEndpointError, buffered.status),
			retrier.AttemptFailure{ReachedEndpoint: true, MayHaveRun: true})
	}
	p.recordResult(false)
	p.relayBuffered(buffered)

	return nil
}

// lacksBody reports whether a success without a body may have been cut after its head: an endpoint that has nothing to say gives a length
// of zero.
func (p *proxiedRequest) lacksBody(response *http.Response) bool {
	return p.request.Method != http.MethodHead && response.StatusCode < 300 && !isFramed(response)
}

// statedLength returns the length that the caller is told: that of the body, or for HEAD what the endpoint states.
func (p *proxiedRequest) statedLength(response *http.Response, bodyBytes int) int {
	if p.request.Method == http.MethodHead {
		return int(response.ContentLength)
	}

	return bodyBytes
}

// failContinuation closes the connection of an endpoint that answers a resumed stream with anything but events, and returns the failure of
// the attempt.
func (p *proxiedRequest) failContinuation(conn *connector.Conn, status int) *dispatcher.Failure {
	conn.Close()
	p.recordErrorResponse()

	return p.newFailure(fmt.Errorf("%w: status %d", errNotContinued, status), retrier.AttemptFailure{ReachedEndpoint: true, MayHaveRun: true})
}

// relayBuffered writes a buffered response to the caller.
func (p *proxiedRequest) relayBuffered(b *bufferedResponse) {
	p.writeHeader(b.status, b.header, b.length)
	if p.request.Method != http.MethodHead {
		if _, err := p.writer.Write(b.body); err != nil {
			p.abortDisconnected()
		}
	}
	p.recordServed(b.status, b.isFramed)
}

// writeHeader writes the response head. A negative length leaves Content-Length out.
func (p *proxiedRequest) writeHeader(status int, header http.Header, length int) {
	h := p.writer.Header()
	for name, values := range header {
		h[name] = values
	}
	if _, hasType := h["Content-Type"]; !hasType {
		// A nil entry keeps net/http from guessing the type.
		h["Content-Type"] = nil
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.Itoa(length))
	}
	p.setConnectionHeaders()
	p.writer.WriteHeader(status)
}

// setConnectionHeaders tells the caller not to reuse the connection if the gateway is shutting down.
func (p *proxiedRequest) setConnectionHeaders() {
	if !p.forwarder.IsShuttingDown() {
		return
	}
	h := p.writer.Header()
	h.Set("Connection", "close")
	h.Del("Keep-Alive")
}

// relayLarge relays a response that is too large to be buffered. The prefix is the part that has been read already.
func (p *proxiedRequest) relayLarge(conn *connector.Conn, response *http.Response, prefix []byte) *dispatcher.Failure {
	p.writeHeader(response.StatusCode, endToEndHeaders(response.Header), int(response.ContentLength))
	if _, err := io.Copy(p.writer, io.MultiReader(bytes.NewReader(prefix), response.Body)); err != nil {
		conn.Close()
		p.abortResponse(err)
	}
	p.isAnswered = isFramed(response)
	p.releaseConn(conn, response)
	p.forwarder.recordBreakerResult(p.choice.Endpoint.ID, true)
	p.recordResult(false)
	p.recordServed(response.StatusCode, isFramed(response))

	return nil
}
