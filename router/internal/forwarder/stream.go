package forwarder

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"syscall"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/retrier"
	"cardamompulley/fleet/timekeeper"
	"cardamompulley/router/internal/connector"
	"cardamompulley/router/internal/dispatcher"
	"cardamompulley/router/internal/splitter"
)

const (
	streamBufferBytes = 4 << 10
	// maxEventBytes bounds an event, which is held until it is whole.
	maxEventBytes = 256 << 10
)

// streamState is the progress of a caller's event stream across all endpoints that have served parts of it.
type streamState struct {
	hasStarted bool
	// hasEvents is true once an event of the current response has been relayed.
	hasEvents bool
	// software is the version that began the stream, empty if it has not begun or the version is not known.
	software model.SoftwareVersion
	// events splits what the endpoints send; the events that it has given up have been relayed.
	events splitter.Splitter
	// firstEventAt and latestEventAt are the arrival times of the first and the latest events.
	firstEventAt  timekeeper.Millis
	latestEventAt timekeeper.Millis
	// longestGap is the longest time between two arrivals of events.
	longestGap timekeeper.Millis
}

// recordArrival records the time at which events arrived.
func (s *streamState) recordArrival(now timekeeper.Millis) {
	if s.firstEventAt == 0 {
		s.firstEventAt = now
	} else {
		s.longestGap = max(s.longestGap, now-s.latestEventAt)
	}
	s.latestEventAt = now
}

// relayStream relays complete events as they arrive. A stream that breaks off is a failed attempt, so that it is resumed or
// aborted and never looks complete to the caller.
func (p *proxiedRequest) relayStream(conn *connector.Conn, response *http.Response) *dispatcher.Failure {
	p.stream.events.Restart()
	p.stream.hasEvents = false
	buffer := make([]byte, streamBufferBytes)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			p.relayEvents(conn, response, p.stream.events.Add(buffer[:n]))
		}
		if p.stream.events.RestBytes() > maxEventBytes {
			return p.failStream(conn, errEventTooLong)
		}
		if err == nil {
			continue
		}
		if !errors.Is(err, io.EOF) {
			return p.failStream(conn, &attemptError{errResponseTruncated, err})
		}

		return p.finishStream(conn, response)
	}
}

func (p *proxiedRequest) relayEvents(conn *connector.Conn, response *http.Response, events []byte) {
	if len(events) == 0 {
		return
	}
	p.stream.recordArrival(p.forwarder.clock.Now())
	p.recordFirstEvent()
	if !p.stream.hasStarted {
		p.startStream(response)
	} else if !p.stream.hasEvents {
		events = bytes.TrimPrefix(events, splitter.ByteOrderMark)
	}
	_, err := p.writer.Write(events)
	if err == nil {
		err = http.NewResponseController(p.writer).Flush()
	}
	if err != nil {
		conn.Close()
		p.abortDisconnected()
	}
	p.stream.hasEvents = true
	p.stream.events.Take()
}

// startStream sends the response head to the caller when the first events arrive.
func (p *proxiedRequest) startStream(response *http.Response) {
	p.stream.hasStarted = true
	p.stream.software = p.forwarder.softwareOf(p.choice.Endpoint)
	p.recordOrigin()
	p.recordEngineAnswer()
	p.finishPrefill()
	firstByteSeconds.Update(float64(p.forwarder.clock.Now()-p.arrivedAt) / 1000)
	p.writeHeader(response.StatusCode, endToEndHeaders(response.Header), -1)
}

// finishStream handles the end of the endpoint's response. If it ends with an incomplete event, or with its connection and
// without any event, the stream has broken off; so it has if it ends with its connection because the endpoint has crashed.
func (p *proxiedRequest) finishStream(conn *connector.Conn, response *http.Response) *dispatcher.Failure {
	isEmpty := !isFramed(response) && !p.stream.hasEvents
	if p.stream.events.HasRest() || isEmpty {
		return p.failStream(conn, errResponseTruncated)
	}
	if !isFramed(response) && p.canResume() && p.hasEndpointCrashed() {
		return p.failStream(conn, errResponseTruncated)
	}
	p.isAnswered = isFramed(response)
	p.releaseConn(conn, response)
	p.forwarder.recordBreakerResult(p.choice.Endpoint.ID, true)
	p.recordResult(false)
	if !p.stream.hasStarted {
		p.startStream(response)
	}
	p.recordServed(response.StatusCode, isFramed(response))

	return nil
}

// hasEndpointCrashed reports whether the endpoint accepts no connections after a stream has ended with its connection. One that leaves may
// have ended by itself after the stream.
func (p *proxiedRequest) hasEndpointCrashed() bool {
	endpoint := p.choice.Endpoint
	if p.forwarder.wantsNoRequests(endpoint) {
		return false
	}
	err := p.forwarder.pool.CheckAlive(p.ctx, endpoint.ID, endpoint.Address)
	p.forwarder.RecordDialError(endpoint, err)

	return errors.Is(err, syscall.ECONNREFUSED)
}

// failStream closes the connection of a stream that broke off and returns the failure of the attempt.
func (p *proxiedRequest) failStream(conn *connector.Conn, err error) *dispatcher.Failure {
	conn.Close()
	if p.ctx.Err() == nil {
		p.forwarder.recordBreakerResult(p.choice.Endpoint.ID, false)
	}
	p.recordIncompleteResponse()

	return p.newFailure(err, retrier.AttemptFailure{ReachedEndpoint: true, MayHaveRun: true})
}
