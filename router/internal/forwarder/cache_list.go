package forwarder

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/semaphore"

	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
	"cardamompulley/platform"
	"cardamompulley/router/internal/connector"
)

const (
	// cacheListLifetime is how long the list of an endpoint's cached parts is used. Listing delays the endpoint's work, and streams that
	// have begun since are mostly known to gateways.
	cacheListLifetime = 10 * timekeeper.Second
	// cacheListTimeout bounds the time that an endpoint has to list its cached parts. A caller waits for the answer.
	cacheListTimeout = 250 * timekeeper.Millis(1)
	// maxCacheLists is the number of lists that a gateway reads within cacheListLifetime at the most, so that many broken streams do
	// not delay all endpoints of a large service.
	maxCacheLists = 128
	// maxCacheListBytes is the size beyond which a list is not read.
	maxCacheListBytes = 4 << 20
	// maxCacheListMemory bounds the lists that are being read, in bytes. Their memory is taken in steps of cacheListStep.
	maxCacheListMemory = 8 << 20
	cacheListStep      = 64 << 10
)

var cacheListsRead = metrics.NewCounter("gateway_cache_lists_read_total")

// errNoCacheList means that an endpoint does not list its cached parts.
var errNoCacheList = errors.New("forwarder: the endpoint does not list its cached parts")

// errTooManyLists means that the gateway has read as many lists as it may for now.
var errTooManyLists = errors.New("forwarder: too many lists of cached parts")

// errListMemory means that the lists that are being read take all the memory that they may.
var errListMemory = errors.New("forwarder: the lists of cached parts take all the memory there is for them")

// cacheList is what an endpoint has cached, as it said at a time. Its other fields count once done is closed.
type cacheList struct {
	done   chan struct{}
	readAt timekeeper.Millis
	// parts holds the number of tokens that the endpoint keeps of each part.
	parts map[cachedPartKey]model.Tokens
	err   error
}

// cachedPartKey identifies a prompt part that is cached for a model.
type cachedPartKey struct {
	id    uint64
	model model.ModelID
}

// cacheLists holds the lists of endpoints that were read a short time ago or are being read.
type cacheLists struct {
	pool  *connector.Pool
	clock timekeeper.Clock
	// memory is what lists that are being read may still take.
	memory *semaphore.Weighted

	mu        sync.Mutex
	byProcess map[model.EndpointProcess]*cacheList
}

func newCacheLists(p *connector.Pool, clock timekeeper.Clock) *cacheLists {
	return &cacheLists{
		pool: p, clock: clock, memory: semaphore.NewWeighted(maxCacheListMemory), byProcess: map[model.EndpointProcess]*cacheList{},
	}
}

// kept returns the number of tokens that an endpoint keeps of a part, by a list that is younger than maxAge.
func (l *cacheLists) kept(ctx context.Context, e *cataloguer.Endpoint, key cachedPartKey, maxAge timekeeper.Millis) (model.Tokens, error) {
	list := l.list(e, maxAge)
	select {
	case <-list.done:
		return list.parts[key], list.err
	case <-ctx.Done():
		return 0, fmt.Errorf("list of %s: %w", e.ID, ctx.Err())
	}
}

// list returns the newest list of an endpoint and starts to read it if it is not younger than maxAge.
func (l *cacheLists) list(e *cataloguer.Endpoint, maxAge timekeeper.Millis) *cacheList {
	l.mu.Lock()
	defer l.mu.Unlock()
	previous, isKnown := l.byProcess[e.Process()]
	if isKnown && l.clock.Now()-previous.readAt < min(maxAge, cacheListLifetime) {
		return previous
	}
	list := &cacheList{done: make(chan struct{}), readAt: l.clock.Now()}
	if !isKnown && len(l.byProcess) >= maxCacheLists {
		list.err = errTooManyLists
		close(list.done)

		return list
	}
	l.byProcess[e.Process()] = list
	go l.read(e, list)

	return list
}

// expire forgets the lists that are too old.
func (l *cacheLists) expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for process, list := range l.byProcess {
		if l.clock.Now()-list.readAt >= cacheListLifetime {
			delete(l.byProcess, process)
		}
	}
}

// read reads the list of an endpoint.
func (l *cacheLists) read(e *cataloguer.Endpoint, list *cacheList) {
	defer close(list.done)
	ctx, cancel := context.WithTimeout(context.Background(), cacheListTimeout.Duration())
	defer cancel()
	cacheListsRead.Inc()
	parts, err := l.fetch(ctx, e)
	if err != nil {
		list.err = fmt.Errorf("list of %s: %w", e.ID, err)

		return
	}
	list.parts = make(map[cachedPartKey]model.Tokens, len(parts))
	for _, part := range parts {
		list.parts[cachedPartKey{id: part.ID, model: part.Model}] = part.Tokens
	}
}

// fetch reads the list of an endpoint. A connection on which anything but a list has come carries no other request: the list may follow.
func (l *cacheLists) fetch(ctx context.Context, e *cataloguer.Endpoint) ([]platform.CachedPart, error) {
	conn, err := l.pool.Get(ctx, e.ID, e.Address)
	if err != nil {
		return nil, err
	}
	response, err := conn.Send(&connector.Request{
		Method: http.MethodGet, RequestURI: platform.PathCacheList, Host: e.Address, Header: http.Header{},
	})
	if err != nil {
		conn.Close()

		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	parts, err := l.readParts(response)
	if err != nil || !conn.IsReusableAfter(response) {
		conn.Close()
	} else {
		l.pool.Put(conn)
	}

	return parts, err
}

// readParts reads the list that a response holds. The response to a request of a caller names its attempt; it is none.
func (l *cacheLists) readParts(response *http.Response) ([]platform.CachedPart, error) {
	if platform.DecodeResponseMetadata(response.StatusCode, response.Header).AttemptID != "" {
		return nil, errResponseMismatch
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w: status %d", errNoCacheList, response.StatusCode)
	}
	taken := int64(0)
	defer func() { l.memory.Release(taken) }()
	var raw bytes.Buffer
	for {
		if !l.memory.TryAcquire(cacheListStep) {
			return nil, errListMemory
		}
		taken += cacheListStep
		_, err := io.CopyN(&raw, response.Body, cacheListStep)
		if errors.Is(err, io.EOF) {
			return platform.DecodeCacheList(raw.Bytes())
		}
		if err != nil {
			return nil, err
		}
		if raw.Len() > maxCacheListBytes {
			return nil, fmt.Errorf("%w: more than %d bytes", errNoCacheList, maxCacheListBytes)
		}
	}
}
