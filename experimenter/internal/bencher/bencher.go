package bencher

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"cardamompulley/experimenter/internal/launcher"
	"cardamompulley/fleet/timekeeper"
)

const (
	closedWorkers = 64
	pacedWorkers  = 16
	pacedRate     = 1_500
	span          = 5 * timekeeper.Second
	shortBody     = `{"model": "coach-1", "max_tokens": 1, "messages": [{"role": "user", "content": "title"}]}`
	streamBody    = `{"model": "coach-1", "max_tokens": 8, "stream": true, "messages": [{"role": "user", "content": "bow"}]}`
	lookupPath    = "/services/lane-app/lookup/lane-7"
)

// target is one way to the endpoint.
type target struct {
	name   string
	url    string
	method string
	body   string
	stream bool
	// headers are set beside the usual ones; host replaces that of the URL.
	headers map[string]string
	host    string
}

// sample is one answered request.
type sample struct {
	first, whole time.Duration
}

// Run loads each way for a while and prints them side by side.
func Run(out io.Writer, f *launcher.Fleet) error {
	engine := "http://" + f.Endpoints["engine-1"].Address("standin")
	plain := "http://" + f.Endpoints["lane-1"].Address("standin")
	router := "http://" + f.Routers[0].Address("callers")
	chat := "/v1/chat/completions"
	rows := []struct {
		target  target
		workers int
		rate    int
	}{
		{target{"lookup, direct", plain + "/lookup/lane-7", fasthttp.MethodGet, "", false, nil, ""}, closedWorkers, 0},
		{target{"lookup, routed", router + lookupPath, fasthttp.MethodGet, "", false, nil, ""}, closedWorkers, 0},
		{target{"short chat, direct", engine + chat, fasthttp.MethodPost, shortBody, false, nil, ""}, closedWorkers, 0},
		{target{"short chat, routed", router + chat, fasthttp.MethodPost, shortBody, false, nil, ""}, closedWorkers, 0},
		{target{"paced stream, direct", engine + chat, fasthttp.MethodPost, streamBody, true, nil, ""}, pacedWorkers, pacedRate},
		{target{"paced stream, routed", router + chat, fasthttp.MethodPost, streamBody, true, nil, ""}, pacedWorkers, pacedRate},
	}
	printHead(out)
	for _, r := range rows {
		samples, failed := load(r.target, r.workers, r.rate)
		print(out, r.target.name, samples, failed)
	}

	return nil
}

func printHead(out io.Writer) {
	fmt.Fprintf(out, "%-28s %10s %8s %10s %10s %10s %10s\n", "way", "requests/s", "failed", "first p50", "first p99", "whole p50", "whole p99")
}

// load keeps a number of requests in flight for the span, or starts them at a rate a second when one is given.
func load(t target, workers, rate int) ([]sample, int) {
	var mu sync.Mutex
	var all []sample
	failures := 0
	var g sync.WaitGroup
	client := &fasthttp.Client{MaxConnsPerHost: workers, StreamResponseBody: true}
	deadline := time.Now().Add(span.Duration())
	for range workers {
		g.Go(func() {
			var own []sample
			failed := 0
			next := time.Now()
			for time.Now().Before(deadline) {
				if rate > 0 {
					next = next.Add(time.Second * time.Duration(workers) / time.Duration(rate))
					time.Sleep(time.Until(next))
				}
				s, ok := once(client, t)
				if ok {
					own = append(own, s)
				} else {
					failed++
				}
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, own...)
			failures += failed
		})
	}
	g.Wait()

	return all, failures
}

func once(client *fasthttp.Client, t target) (sample, bool) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(t.method)
	request.SetRequestURI(t.url)
	request.Header.Set("Authorization", "Bearer "+launcher.CallerToken)
	request.Header.SetContentType("application/json")
	request.SetBodyString(t.body)
	for name, value := range t.headers {
		request.Header.Set(name, value)
	}
	if t.host != "" {
		request.UseHostHeader = true
		request.Header.SetHost(t.host)
	}
	start := time.Now()
	if err := client.Do(request, response); err != nil || response.StatusCode() != fasthttp.StatusOK {
		return sample{}, false
	}
	s := sample{first: time.Since(start)}
	reader := bufio.NewReader(response.BodyStream())
	if t.stream {
		if _, err := reader.ReadBytes('\n'); err != nil {
			return sample{}, false
		}
		s.first = time.Since(start)
	}
	if _, err := io.Copy(io.Discard, reader); err != nil {
		return sample{}, false
	}
	s.whole = time.Since(start)

	return s, true
}

func print(out io.Writer, name string, samples []sample, failed int) {
	var firsts, wholes []time.Duration
	for _, s := range samples {
		firsts = append(firsts, s.first)
		wholes = append(wholes, s.whole)
	}
	fmt.Fprintf(out, "%-28s %10.0f %8d %10s %10s %10s %10s\n", name,
		float64(len(samples))/span.Duration().Seconds(), failed,
		percentile(firsts, 50), percentile(firsts, 99), percentile(wholes, 50), percentile(wholes, 99))
}

func percentile(values []time.Duration, percent int) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)

	return values[min(len(values)-1, len(values)*percent/100)].Round(time.Microsecond)
}
