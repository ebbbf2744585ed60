package forwarder

import (
	"bytes"
	"fmt"
	"io"
	"mime"
	"net/http"
	"strconv"

	"cardamompulley/fleet/retrier"
	"cardamompulley/router/internal/connector"
	"cardamompulley/router/internal/dispatcher"
)

// maxBufferedBytes is the size up to which a response is read to its end before it is relayed. A larger response is relayed
// as it arrives.
const maxBufferedBytes = 64 << 10

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

// readPrefix reads the start of a response and reports whether that is all of it. Responses of up to maxBufferedBytes are
// complete.
func readPrefix(response *http.Response) (prefix []byte, isComplete bool, err error) {
	prefix, err = io.ReadAll(io.LimitReader(response.Body, maxBufferedBytes+1))

	return prefix, len(prefix) <= maxBufferedBytes, err
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
	if err != nil {
		return p.failAfterSend(conn, &attemptError{errResponseTruncated, err})
	}
	if len(prefix) == 0 && p.lacksBody(response) {
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
