package relayer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// Errors that callers test with errors.Is.
var (
	// ErrNotTouched means that the endpoint saw nothing of the request.
	ErrNotTouched = errors.New("relayer: endpoint not touched")
	// ErrIncomplete means that an answer ended before its end mark.
	ErrIncomplete = errors.New("relayer: answer incomplete")
	// ErrCrossed means that an answer to another attempt arrived.
	ErrCrossed = errors.New("relayer: crossed answer")
	// ErrStalled means that the endpoint was silent for too long.
	ErrStalled = errors.New("relayer: endpoint stalled")
	// ErrFailed means that the connection broke after the request was sent.
	ErrFailed = errors.New("relayer: endpoint failed")
	// ErrTooLarge means that an answer is over the size limit.
	ErrTooLarge = errors.New("relayer: answer too large")
)

const (
	dialTimeout    = 2 * timekeeper.Second
	idlePerHost    = 256
	maxAnswerBytes = 16 << 20
	attemptHeader  = "X-Request-Id"
)

// Request is one request as the endpoint receives it.
type Request struct {
	Attempt     string
	Method      string
	Path        string
	ContentType string
	Body        []byte
	Key         model.IdempotencyKey
	Account     model.AccountID
	Stream      bool
	Priority    int
	Header      http.Header
}

// Head is the start of an answer.
type Head struct {
	Status      int
	ContentType string
	Streaming   bool
}

// Summary is what the end of an answer tells.
type Summary struct {
	CachedTokens model.Tokens
	FirstPiece   timekeeper.Millis
	LastPiece    timekeeper.Millis
	Pieces       int
}

// Sink receives the answer; an error from it ends the relay.
type Sink struct {
	Head  func(Head) error
	Piece func([]byte) error
}

// Relayer speaks to the endpoint beside the sidecar.
type Relayer struct {
	base   string
	stall  timekeeper.Millis
	clock  timekeeper.Clock
	pooled *http.Client
	single *http.Client
}

// NewRelayer returns a relayer for an endpoint URL.
func NewRelayer(base string, stall timekeeper.Millis, clock timekeeper.Clock) *Relayer {
	dialer := &net.Dialer{Timeout: dialTimeout.Duration()}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrNotTouched, err)
		}

		return conn, nil
	}

	return &Relayer{
		base:   base,
		stall:  stall,
		clock:  clock,
		pooled: &http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: idlePerHost}},
		// A request with an Idempotency-Key counts as replayable in net/http, so keyed requests never reuse a connection.
		single: &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}},
	}
}

// Relay sends a request and relays its answer; the error tells whether the endpoint may have run it.
func (r *Relayer) Relay(ctx context.Context, q *Request, sink Sink) (Summary, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(r.stall.Duration(), func() { cancel(ErrStalled) })
	defer watchdog.Stop()

	response, err := r.send(ctx, q)
	if err != nil {
		return Summary{}, classify(ctx, err)
	}
	defer response.Body.Close()
	if echoed := response.Header.Get(attemptHeader); echoed != "" && echoed != q.Attempt {
		return Summary{}, ErrCrossed
	}
	streaming := q.Stream && response.StatusCode == http.StatusOK
	head := Head{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Streaming:   streaming,
	}
	pump := &pump{relayer: r, sink: sink, watchdog: watchdog, start: r.clock.Now()}
	if err := sink.Head(head); err != nil {
		return pump.summary, err
	}
	if streaming {
		err = pump.stream(response.Body)
	} else {
		err = pump.whole(response)
	}
	if err != nil {
		return pump.summary, classify(ctx, err)
	}

	return pump.summary, nil
}

func (r *Relayer) send(ctx context.Context, q *Request) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, q.Method, r.base+q.Path, bytes.NewReader(q.Body))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotTouched, err)
	}
	if q.Header != nil {
		request.Header = q.Header
	}
	request.Header.Set(attemptHeader, q.Attempt)
	request.Header.Set("X-Client-Account", string(q.Account))
	request.Header.Set("X-Priority", fmt.Sprint(q.Priority))
	if q.ContentType != "" {
		request.Header.Set("Content-Type", q.ContentType)
	}
	client := r.pooled
	if q.Key != "" {
		request.Header.Set("Idempotency-Key", string(q.Key))
		client = r.single
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrFailed, err)
	}

	return response, nil
}

func classify(ctx context.Context, err error) error {
	if errors.Is(err, ErrNotTouched) {
		return err
	}
	if errors.Is(context.Cause(ctx), ErrStalled) {
		return fmt.Errorf("%w: %w", ErrStalled, err)
	}

	return err
}

// pump moves the pieces of one answer.
type pump struct {
	relayer  *Relayer
	sink     Sink
	watchdog *time.Timer
	start    timekeeper.Millis
	summary  Summary
}

func (p *pump) emit(piece []byte) error {
	p.watchdog.Reset(p.relayer.stall.Duration())
	since := p.relayer.clock.Now() - p.start
	if p.summary.Pieces == 0 {
		p.summary.FirstPiece = since
	}
	p.summary.LastPiece = since
	p.summary.Pieces++

	return p.sink.Piece(piece)
}

var (
	endMark    = []byte("data: [DONE]")
	usageField = []byte(`"usage":{`)
	dataPrefix = []byte("data: ")
)

// stream relays server-sent events, one event a piece, up to and with the end mark.
func (p *pump) stream(body io.Reader) error {
	reader := bufio.NewReader(body)
	var event []byte
	ended := false
	for {
		line, err := reader.ReadBytes('\n')
		event = append(event, line...)
		if bytes.HasPrefix(line, endMark) {
			ended = true
		}
		p.readUsage(bytes.TrimPrefix(line, dataPrefix))
		if len(bytes.TrimSpace(line)) == 0 && len(event) > len(line) {
			if err := p.emit(event); err != nil {
				return err
			}
			event = nil
		}
		if ended && event == nil {
			return nil
		}
		if err != nil {
			return fmt.Errorf("%w: %w", ErrIncomplete, err)
		}
	}
}

func (p *pump) whole(response *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrIncomplete, err)
	}
	if len(body) > maxAnswerBytes {
		return ErrTooLarge
	}
	p.readUsage(body)

	return p.emit(body)
}

type usageBody struct {
	Usage struct {
		PromptTokensDetails struct {
			CachedTokens model.Tokens `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

func (p *pump) readUsage(raw []byte) {
	if !bytes.Contains(raw, usageField) {
		return
	}
	var u usageBody
	if json.Unmarshal(raw, &u) == nil {
		p.summary.CachedTokens = u.Usage.PromptTokensDetails.CachedTokens
	}
}
