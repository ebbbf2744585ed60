package forwarder

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"strconv"
	"syscall"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/retrier"
	"cardamompulley/platform"
	"cardamompulley/router/internal/connector"
	"cardamompulley/router/internal/dispatcher"
)

// wholeBytes is the size up to which an answer is read to its end before it is passed on.
const wholeBytes = 64 << 10

// Errors of one attempt.
var (
	errCrossed    = errors.New("forwarder: the answer belongs to another request")
	errUnsigned   = errors.New("forwarder: the endpoint does not vouch for its answer")
	errNotRun     = errors.New("forwarder: the endpoint did not run the request")
	errOwnFailure = errors.New("forwarder: the endpoint failed the request")
	errBroken     = errors.New("forwarder: the stream broke off")
)

// reply is an endpoint's answer that was read to its end.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// attempt sends the request to the chosen endpoint and delivers its answer, or says why not.
func (j *job) attempt() *dispatcher.Failure {
	e := j.choice.Endpoint
	conn, err := j.f.pool.Get(j.ctx, e.ID, e.Address)
	if err != nil {
		if j.ctx.Err() == nil {
			j.f.noteHealth(e.ID, false)
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			j.f.crashed(e.ID)
		}

		return j.failure(err, retrier.AttemptFailure{})
	}
	stop := context.AfterFunc(j.ctx, conn.Close)
	defer stop()
	j.arrivals++
	response, err := conn.Send(j.request())
	if err != nil {
		return j.lose(conn, err)
	}
	// By then the body has been read to its end or its connection is closed.
	defer func() { _ = response.Body.Close() }()
	reply := platform.DecodeResponseMetadata(response.StatusCode, response.Header)
	if reply.AttemptID != "" && reply.AttemptID != j.facts.AttemptID {
		return j.lose(conn, errCrossed)
	}
	if reply.NotRun {
		return j.rejected(conn, response)
	}
	if response.StatusCode < 300 && (!reply.Signed || reply.AttemptID == "" || response.Header.Get("Content-Encoding") != "") {
		return j.lose(conn, errUnsigned)
	}

	return j.deliver(conn, response)
}

// failure describes an attempt that did not serve the request.
func (j *job) failure(err error, f retrier.AttemptFailure) *dispatcher.Failure {
	f.IsFinal = j.lost()
	refusal := model.NewRefusal(model.CodeEndpointFailed, "the endpoint did not serve the request: "+err.Error()).
		WithRetryAfter(retryWait)

	return &dispatcher.Failure{AttemptFailure: f, Refusal: refusal, Err: err}
}

// lose ends a connection whose request may have run.
func (j *job) lose(conn *connector.Conn, err error) *dispatcher.Failure {
	conn.Close()
	if j.ctx.Err() == nil {
		j.f.blame(j.choice.Endpoint.ID, j.fingerprint)
	}
	if j.ctx.Err() == nil && !conn.Reused {
		j.f.noteHealth(j.choice.Endpoint.ID, false)
	}
	j.gradeLoss()

	return j.failure(err, retrier.AttemptFailure{ReachedEndpoint: true, MayHaveRun: true})
}

// release keeps a connection whose answer was read to its end, if it can carry another request.
func (j *job) release(conn *connector.Conn, response *http.Response) {
	if conn.Reusable(response) {
		j.f.pool.Put(conn)
	} else {
		conn.Close()
	}
}

// readStart reads an answer up to a size and tells whether that was all of it.
func readStart(response *http.Response) (start []byte, whole bool, err error) {
	start, err = io.ReadAll(io.LimitReader(response.Body, wholeBytes+1))

	return start, len(start) <= wholeBytes, err
}

// rejected notes an endpoint's word that it did not run the request.
func (j *job) rejected(conn *connector.Conn, response *http.Response) *dispatcher.Failure {
	if _, whole, err := readStart(response); whole && err == nil {
		j.release(conn, response)
	} else {
		conn.Close()
	}

	return j.failure(fmt.Errorf("%w: status %d", errNotRun, response.StatusCode), retrier.AttemptFailure{ReachedEndpoint: true})
}

func (j *job) deliver(conn *connector.Conn, response *http.Response) *dispatcher.Failure {
	kind, _, _ := mime.ParseMediaType(response.Header.Get("Content-Type"))
	if kind == "text/event-stream" && response.StatusCode < 300 {
		return j.deliverStream(conn, response)
	}
	start, whole, err := readStart(response)
	if err != nil {
		return j.lose(conn, errBroken)
	}
	if !whole && promises(response.StatusCode) {
		return j.lose(conn, errOwnFailure)
	}
	if !whole {
		return j.deliverLong(conn, response, start)
	}
	j.release(conn, response)
	j.f.noteHealth(j.choice.Endpoint.ID, true)
	a := &reply{status: response.StatusCode, header: outgoing(response.Header), body: start}
	if a.status >= http.StatusInternalServerError || promises(a.status) {
		j.reply = a
		j.gradeOwnFailure()

		return j.failure(fmt.Errorf("%w: status %d", errOwnFailure, a.status), retrier.AttemptFailure{ReachedEndpoint: true, MayHaveRun: true})
	}
	j.grade(false)
	j.pass(a)

	return nil
}

// pass writes an endpoint's answer unchanged.
func (j *job) pass(a *reply) {
	j.writeHead(a.status, a.header, len(a.body))
	if j.r.Method != http.MethodHead {
		if _, err := j.w.Write(a.body); err != nil {
			j.leave()
		}
	}
	j.logServed(a.status)
}

func (j *job) writeHead(status int, header http.Header, length int) {
	h := j.w.Header()
	for name, values := range header {
		h[name] = values
	}
	if _, typed := h["Content-Type"]; !typed {
		h["Content-Type"] = nil
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.Itoa(length))
	}
	j.w.WriteHeader(status)
}

// deliverLong passes on an answer that is too long to be held, from its start on.
func (j *job) deliverLong(conn *connector.Conn, response *http.Response, start []byte) *dispatcher.Failure {
	j.writeHead(response.StatusCode, outgoing(response.Header), int(response.ContentLength))
	if _, err := io.Copy(j.w, io.MultiReader(bytes.NewReader(start), response.Body)); err != nil {
		conn.Close()
		j.abort(err)
	}
	j.release(conn, response)
	j.f.noteHealth(j.choice.Endpoint.ID, true)
	j.grade(false)
	j.logServed(response.StatusCode)

	return nil
}

// giveUp ends the request with the best answer that is left.
func (j *job) giveUp(last *dispatcher.Failure, refusal *model.Refusal) {
	if j.r.Context().Err() != nil {
		j.leave()
	}
	if j.stream.started {
		j.abort(last.Err)
	}
	if j.reply != nil && !promises(j.reply.status) {
		j.pass(j.reply)

		return
	}
	if j.left() <= 0 {
		refusal.Code = model.CodeDeadlineTooShort
	}
	j.refuse(refusal)
}

// promises tells whether a status says to callers that the request has not run. An endpoint that means it says so in its
// headers too; without them the status is not passed on.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}
