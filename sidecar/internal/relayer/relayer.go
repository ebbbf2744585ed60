package relayer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"time"

	"cardamompulley/fleet/checker"
	"cardamompulley/fleet/dialer"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// Errors to test with errors.Is.
var (
	// ErrNotSent means that nothing of the request was sent to the endpoint.
	ErrNotSent = errors.New("relayer: endpoint not touched")
	// ErrIncomplete means that a response ended early.
	ErrIncomplete = errors.New("relayer: answer incomplete")
	// ErrResponseMismatch means that the endpoint returned the response to another attempt.
	ErrResponseMismatch = errors.New("relayer: crossed answer")
	// ErrStalled means that no piece of the response was completed within the stall timeout.
	ErrStalled = errors.New("relayer: endpoint stalled")
	// ErrConnectionFailed means that the connection failed when the endpoint may already have received the request.
	ErrConnectionFailed = errors.New("relayer: endpoint failed")
	// ErrTooLarge means that a response that is not streamed exceeds 16 MiB, an event of a stream 256 KiB, or that too many interim answers
	// came.
	ErrTooLarge = errors.New("relayer: answer too large")
)

const (
	dialTimeout        = 2 * timekeeper.Second
	maxIdleConnections = 256
	maxResponseBytes   = 16 << 20
	maxEventBytes      = 256 << 10
	maxHeadBytes       = 64 << 10
	maxInterimAnswers  = 1024
	attemptIDHeader    = "X-Request-Id"
)

// Request is one request to the endpoint. AttemptID is sent as X-Request-Id; if the response has that header, its value must
// be the same. IsStreaming means that the response may be a stream of server-sent events.
type Request struct {
	AttemptID      string
	Method         string
	Path           string
	ContentType    string
	Body           []byte
	IdempotencyKey model.IdempotencyKey
	Account        model.AccountID
	IsStreaming    bool
	Priority       int
	Header         http.Header
}

// Head is the head of a response.
type Head struct {
	Status      int
	ContentType string
	IsStreaming bool
}

// Stats are the figures of one response. Times are in milliseconds since the head of the response arrived. CachedTokens is
// the number of prompt tokens found in the prefix cache, as reported by the endpoint.
type Stats struct {
	CachedTokens     model.Tokens
	TimeToFirstPiece timekeeper.Millis
	TimeToLastPiece  timekeeper.Millis
	PieceCount       int
}

// Sink receives a response: OnHead once, then OnPiece for each server-sent event or once for a whole body. An error of
// either function ends the relay.
type Sink struct {
	OnHead  func(Head) error
	OnPiece func([]byte) error
}

// Relayer is the HTTP client of one endpoint. It is safe for concurrent use.
type Relayer struct {
	baseURL         string
	stallTimeout    timekeeper.Millis
	clock           timekeeper.Clock
	pooledClient    *http.Client
	singleUseClient *http.Client
}

// NewRelayer returns a relayer to the endpoint at a base URL. A request is given up if the endpoint completes no piece of
// its response for stallTimeout. A body that is not streamed is one piece.
func NewRelayer(baseURL string, stallTimeout timekeeper.Millis, clock timekeeper.Clock) *Relayer {
	netDialer := &net.Dialer{Timeout: dialTimeout.Duration()}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := netDialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}

		return dialer.NewConn(conn), nil
	}

	return &Relayer{
		baseURL:      baseURL,
		stallTimeout: stallTimeout,
		clock:        clock,
		pooledClient: &http.Client{Transport: &http.Transport{
			DialContext: dial, MaxIdleConnsPerHost: maxIdleConnections, MaxResponseHeaderBytes: maxHeadBytes,
		}},
		// net/http resends a request with an Idempotency-Key if a reused connection breaks. These requests may run only
		// once and therefore never reuse a connection.
		singleUseClient: &http.Client{Transport: &http.Transport{
			DialContext: dial, DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeadBytes,
		}},
	}
}

// Relay sends a request and passes its response to the sink. If the error is ErrNotSent, the endpoint has not run the
// request; after any other error, including an error of the sink, it may have. The error matches checker.ErrMalformed if what the endpoint
// sent is no answer.
func (r *Relayer) Relay(ctx context.Context, q *Request, sink Sink) (Stats, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stallTimer := time.AfterFunc(r.stallTimeout.Duration(), func() { cancel(ErrStalled) })
	defer stallTimer.Stop()

	response, err := r.send(ctx, q)
	if err != nil {
		return Stats{}, withStallCause(ctx, err)
	}
	defer response.Body.Close()
	if returnedID := response.Header.Get(attemptIDHeader); returnedID != "" && returnedID != q.AttemptID {
		return Stats{}, ErrResponseMismatch
	}
	isStreaming := q.IsStreaming && response.StatusCode == http.StatusOK
	head := Head{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		IsStreaming: isStreaming,
	}
	c := &copier{relayer: r, sink: sink, stallTimer: stallTimer, startedAt: r.clock.Now()}
	if err := sink.OnHead(head); err != nil {
		return c.stats, err
	}
	if isStreaming {
		err = c.copyStream(response.Body)
	} else {
		err = c.copyBody(response)
	}
	if err != nil {
		return c.stats, withStallCause(ctx, err)
	}

	return c.stats, nil
}

func (r *Relayer) send(ctx context.Context, q *Request) (*http.Response, error) {
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, newInterimCheck()), q.Method, r.baseURL+q.Path, bytes.NewReader(q.Body))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if q.Header != nil {
		request.Header = q.Header
	}
	request.Header.Set(attemptIDHeader, q.AttemptID)
	request.Header.Set("X-Client-Account", string(q.Account))
	request.Header.Set("X-Priority", fmt.Sprint(q.Priority))
	if q.ContentType != "" {
		request.Header.Set("Content-Type", q.ContentType)
	}
	client := r.pooledClient
	if q.IdempotencyKey != "" {
		request.Header.Set("Idempotency-Key", string(q.IdempotencyKey))
		client = r.singleUseClient
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrConnectionFailed, err)
	}
	if err := checker.CheckHead(response); err != nil {
		_ = response.Body.Close()

		return nil, fmt.Errorf("relayer: %w", err)
	}
	response.Body = checker.NewBody(response)

	return response, nil
}

// newInterimCheck returns a trace that ends a request if one of the interim answers before its answer is malformed, or if there are too many.
func newInterimCheck() *httptrace.ClientTrace {
	count := 0

	return &httptrace.ClientTrace{Got1xxResponse: func(_ int, header textproto.MIMEHeader) error {
		count++
		if count > maxInterimAnswers {
			return fmt.Errorf("%w: more than %d interim answers", ErrTooLarge, maxInterimAnswers)
		}

		return checker.CheckFields(http.Header(header))
	}}
}

// withStallCause adds ErrStalled to an error caused by the stall timeout.
func withStallCause(ctx context.Context, err error) error {
	if errors.Is(err, ErrNotSent) {
		return err
	}
	if errors.Is(context.Cause(ctx), ErrStalled) {
		return fmt.Errorf("%w: %w", ErrStalled, err)
	}

	return err
}
