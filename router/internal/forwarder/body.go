package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/semaphore"

	"cardamompulley/fleet/hasher"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

const (
	// defaultMaxBodyMemory bounds the bodies that are held at once, in bytes.
	defaultMaxBodyMemory = 64 << 20
	// initialBodyBytes are allocated for a body before more of it has arrived.
	initialBodyBytes = 16 << 10
	// defaultBodyStallTimeout bounds the time in which nothing of a body arrives.
	defaultBodyStallTimeout = 10 * timekeeper.Second
	// RefusedBodyTimeout is how long nothing of the body of a refused request may arrive. The body is read because a caller that sends
	// on after its connection has closed does not get the refusal.
	RefusedBodyTimeout = timekeeper.Second
	// bodyMemoryRetryAfter is the least Retry-After of requests whose bodies find no room; callers are spread over as much again.
	bodyMemoryRetryAfter = timekeeper.Second
)

// errArrivalRefused means that the request was refused while its body arrived.
var errArrivalRefused = errors.New("forwarder: the request was refused while its body arrived")

// errBodyTooLarge means that a body is over the configured limit.
var errBodyTooLarge = errors.New("forwarder: the body is over the limit")

// errBodyMemory means that the bodies of running requests take all the memory that they may.
var errBodyMemory = errors.New("forwarder: the bodies of other requests take all the memory there is for them")

// bodyMemory bounds the memory of all request bodies that are held at once.
type bodyMemory struct {
	size int64
	free *semaphore.Weighted
}

func newBodyMemory(size int64) *bodyMemory {
	return &bodyMemory{size: size, free: semaphore.NewWeighted(size)}
}

// bodyArrival is the state of a body that is being read.
type bodyArrival struct {
	mu sync.Mutex
	// isOver is true once the body has been read, or reading it has failed.
	isOver bool
	// isRefused is true if the request was refused before.
	isRefused bool
}

// finish ends the arrival. It returns false if the request has been refused.
func (a *bodyArrival) finish() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.isOver = true

	return !a.isRefused
}

// LimitBodyMemory sets how many bytes the bodies of all requests may take at once. It must be called before requests are served.
func (f *Forwarder) LimitBodyMemory(size int64) {
	f.bodyMemory = newBodyMemory(size)
}

// releaseBody gives back the memory of the body.
func (p *proxiedRequest) releaseBody() {
	p.forwarder.bodyMemory.free.Release(p.bodyBytes)
	p.bodyBytes = 0
}

// readBody reads the request body, within the request's deadline and the configured size limit.
func (p *proxiedRequest) readBody() *model.Refusal {
	if p.request.ContentLength == 0 {
		return nil
	}
	maxBytes := p.maxBodyBytes()
	if p.request.ContentLength > maxBytes {
		return model.NewRefusal(model.CodeBodyTooLarge, "the body is over the limit")
	}
	stop := context.AfterFunc(p.forwarder.shutdown.refusing, p.refuseArriving)
	defer stop()
	body, err := p.readBodyBytes(maxBytes)
	if errors.Is(err, errArrivalRefused) {
		p.discardBody()
	}
	if !p.arrival.finish() {
		return shutdownRefusal()
	}
	p.body = body
	if err == nil {
		// An error means that the connection is closed; the caller has gone then.
		_ = http.NewResponseController(p.writer).SetReadDeadline(time.Time{})

		return nil
	}

	return p.bodyRefusal(err)
}

// maxBodyBytes returns the limit on the size of the body.
func (p *proxiedRequest) maxBodyBytes() int64 {
	limit := p.view.Configuration.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}

	return min(limit, p.forwarder.bodyMemory.size-1)
}

// bodyRefusal returns the refusal of a request whose body cannot be read.
func (p *proxiedRequest) bodyRefusal(err error) *model.Refusal {
	switch {
	case errors.Is(err, errBodyTooLarge):
		return model.NewRefusal(model.CodeBodyTooLarge, "the body is over the limit")
	case errors.Is(err, errBodyMemory):
		return model.NewRefusal(model.CodeOverloaded, err.Error()).WithRetryAfter(p.bodyRetryAfter())
	case errors.Is(err, os.ErrDeadlineExceeded) || p.timeLeft() <= 0:
		return model.NewRefusal(model.CodeRequestTimeout, "the body did not arrive in time").WithRetryAfter(earlyRefusalRetryAfter)
	default:
		return model.NewRefusal(model.CodeBadRequest, "the body cannot be read: "+err.Error())
	}
}

// bodyRetryAfter spreads callers that are refused together.
func (p *proxiedRequest) bodyRetryAfter() timekeeper.Millis {
	hash := hasher.Mix(xxhash.Sum64String(string(p.metadata.AttemptID)))

	return bodyMemoryRetryAfter + timekeeper.Millis(hash%uint64(bodyMemoryRetryAfter))
}

// readBodyBytes reads the body into a buffer that grows as it arrives. The body must be read to its end, since net/http detects only
// then that a caller has disconnected.
func (p *proxiedRequest) readBodyBytes(maxBytes int64) ([]byte, error) {
	if p.request.ContentLength > 0 {
		maxBytes = p.request.ContentLength
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			grown, err := p.growBody(body, maxBytes)
			if err != nil {
				return nil, err
			}
			body = grown
		}
		if !p.awaitBody() {
			return nil, errArrivalRefused
		}
		n, err := p.request.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if int64(len(body)) > maxBytes {
			return nil, errBodyTooLarge
		}
		if errors.Is(err, io.EOF) {
			return body, p.checkLength(body)
		}
		if err != nil {
			return nil, err
		}
	}
}

// awaitBody bounds the time in which nothing of the body arrives. It returns false if the request has been refused.
func (p *proxiedRequest) awaitBody() bool {
	p.arrival.mu.Lock()
	defer p.arrival.mu.Unlock()
	if p.arrival.isRefused {
		return false
	}
	p.setReadTimeout(min(p.timeLeft(), p.forwarder.BodyStallTimeout))

	return true
}

// growBody returns the body with room for more bytes, of which the end may be the last. It returns errBodyMemory if there is none.
func (p *proxiedRequest) growBody(body []byte, maxBytes int64) ([]byte, error) {
	size := min(max(2*int64(cap(body)), initialBodyBytes), maxBytes+1)
	size = max(size, int64(len(body))+1)
	added := size - int64(cap(body))
	if !p.forwarder.bodyMemory.free.TryAcquire(added) {
		return nil, errBodyMemory
	}
	p.bodyBytes += added
	grown := make([]byte, len(body), size)
	copy(grown, body)

	return grown, nil
}

// checkLength returns io.ErrUnexpectedEOF if the body ended before its declared length.
func (p *proxiedRequest) checkLength(body []byte) error {
	if int64(len(body)) < p.request.ContentLength {
		return io.ErrUnexpectedEOF
	}

	return nil
}
