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

// In a closed loop, each worker sends its next request when the last one has been answered. Paced workers together send at
// most a fixed number of requests per second. Each load runs for loadTime.
const (
	closedLoopWorkers      = 64
	pacedWorkers           = 16
	pacedRequestsPerSecond = 1_500
	loadTime               = 5 * timekeeper.Second
	shortChatBody          = `{"model": "coach-1", "max_tokens": 1, "messages": [{"role": "user", "content": "title"}]}`
	streamedChatBody       = `{"model": "coach-1", "max_tokens": 8, "stream": true, "messages": [{"role": "user", "content": "bow"}]}`
	routedLookupPath       = "/services/lane-app/lookup/lane-7"
)

// target is the request that a load test repeats, sent to an endpoint directly or through the fleet. The name is printed.
type target struct {
	name        string
	url         string
	method      string
	body        string
	isStreaming bool
	// headers may replace the default Authorization and Content-Type. A non-empty host replaces the host of the URL.
	headers map[string]string
	host    string
}

// latencies are the times from the start of a request to the first line of a stream, or to the header of any other response,
// and to the end of the response. The printed table calls them first and whole.
type latencies struct {
	firstByte, total time.Duration
}

// Run loads the endpoints of a fleet directly and through the first router, one target after another, and prints a row for
// each.
func Run(out io.Writer, fleet *launcher.Fleet) error {
	engine := "http://" + fleet.Endpoints["engine-1"].Address("standin")
	plainService := "http://" + fleet.Endpoints["lane-1"].Address("standin")
	router := "http://" + fleet.Routers[0].Address("callers")
	chatPath := "/v1/chat/completions"
	loads := []struct {
		target            target
		workers           int
		requestsPerSecond int
	}{
		{target{"lookup, direct", plainService + "/lookup/lane-7", fasthttp.MethodGet, "", false, nil, ""}, closedLoopWorkers, 0},
		{target{"lookup, routed", router + routedLookupPath, fasthttp.MethodGet, "", false, nil, ""}, closedLoopWorkers, 0},
		{target{"short chat, direct", engine + chatPath, fasthttp.MethodPost, shortChatBody, false, nil, ""}, closedLoopWorkers, 0},
		{target{"short chat, routed", router + chatPath, fasthttp.MethodPost, shortChatBody, false, nil, ""}, closedLoopWorkers, 0},
		{target{"paced stream, direct", engine + chatPath, fasthttp.MethodPost, streamedChatBody, true, nil, ""},
			pacedWorkers, pacedRequestsPerSecond},
		{target{"paced stream, routed", router + chatPath, fasthttp.MethodPost, streamedChatBody, true, nil, ""},
			pacedWorkers, pacedRequestsPerSecond},
	}
	printHeader(out)
	for _, l := range loads {
		results, failedCount := runLoad(l.target, l.workers, l.requestsPerSecond)
		printRow(out, l.target.name, results, failedCount)
	}

	return nil
}

func printHeader(out io.Writer) {
	fmt.Fprintf(out, "%-28s %10s %8s %10s %10s %10s %10s\n", "way", "requests/s", "failed", "first p50", "first p99", "whole p50", "whole p99")
}

// runLoad sends requests for loadTime from a number of workers, each of which has one request in flight. A requestsPerSecond
// above zero limits the total rate of all workers. It returns the latencies of the successful requests and the number of
// failed ones.
func runLoad(t target, workers, requestsPerSecond int) ([]latencies, int) {
	var mu sync.Mutex
	var results []latencies
	failedCount := 0
	var wg sync.WaitGroup
	client := &fasthttp.Client{MaxConnsPerHost: workers, StreamResponseBody: true}
	deadline := time.Now().Add(loadTime.Duration())
	for range workers {
		wg.Go(func() {
			var workerResults []latencies
			workerFailedCount := 0
			nextStart := time.Now()
			for time.Now().Before(deadline) {
				if requestsPerSecond > 0 {
					nextStart = nextStart.Add(time.Second * time.Duration(workers) / time.Duration(requestsPerSecond))
					time.Sleep(time.Until(nextStart))
				}
				result, ok := sendRequest(client, t)
				if ok {
					workerResults = append(workerResults, result)
				} else {
					workerFailedCount++
				}
			}
			mu.Lock()
			defer mu.Unlock()
			results = append(results, workerResults...)
			failedCount += workerFailedCount
		})
	}
	wg.Wait()

	return results, failedCount
}

// sendRequest sends one request and reads the response. It reports false unless the status is 200 and the response complete.
func sendRequest(client *fasthttp.Client, t target) (latencies, bool) {
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
		return latencies{}, false
	}
	result := latencies{firstByte: time.Since(start)}
	reader := bufio.NewReader(response.BodyStream())
	if t.isStreaming {
		if _, err := reader.ReadBytes('\n'); err != nil {
			return latencies{}, false
		}
		result.firstByte = time.Since(start)
	}
	if _, err := io.Copy(io.Discard, reader); err != nil {
		return latencies{}, false
	}
	result.total = time.Since(start)

	return result, true
}

func printRow(out io.Writer, name string, results []latencies, failedCount int) {
	var firstBytes, totals []time.Duration
	for _, r := range results {
		firstBytes = append(firstBytes, r.firstByte)
		totals = append(totals, r.total)
	}
	fmt.Fprintf(out, "%-28s %10.0f %8d %10s %10s %10s %10s\n", name,
		float64(len(results))/loadTime.Duration().Seconds(), failedCount,
		percentile(firstBytes, 50), percentile(firstBytes, 99), percentile(totals, 50), percentile(totals, 99))
}

// percentile sorts the values in place and returns the one at a percentage, or zero if there are none.
func percentile(values []time.Duration, percent int) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)

	return values[min(len(values)-1, len(values)*percent/100)].Round(time.Microsecond)
}
