package review

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["failure-inside-stream"] = playFailureInsideStream }

const failureText = "the draft cannot be written"

const (
	// greyShare is the share of its requests that a runner fails, in percent, for greyTime; its status check stays good.
	greyShare = 45
	greyTime  = 4 * time.Second
)

// playFailureInsideStream has three of twelve runners crash in the middle of their streams while all fail part of their requests.
func playFailureInsideStream(w *world) (bool, error) {
	w.putConfiguration(7, route{name: "r-1", prefix: "/pufi791/", kind: "stream", service: engines, timeoutMS: 12000, attempts: 2, isResumable: true})
	var isGrey atomic.Bool
	var requests atomic.Int64
	stream := streamOf(streamEvents, eventPause, func(_ string, n int) string { return fmt.Sprintf("words %d", n) })
	var runners []*runner
	for n := range 12 {
		r, err := w.startRunner(fmt.Sprintf("i-%08x", 0x7f3a0000+n), zones[n%4], engines, 64,
			func(r *runner, rw http.ResponseWriter, q *http.Request, body []byte) {
				if isGrey.Load() && requests.Add(1)*greyShare%100 < greyShare {
					w.note("runner %s fails %s with status 422", r.id, q.Header.Get("Cardamompulley-Attempt-Id"))
					rw.WriteHeader(http.StatusUnprocessableEntity)
					_, _ = io.WriteString(rw, failureText)

					return
				}
				stream(r, rw, q, body)
			})
		if err != nil {
			return false, err
		}
		runners = append(runners, r)
	}
	if err := w.startGateways(); err != nil {
		return false, err
	}
	const streams = 72
	answers := make([]answer, streams)
	var wait sync.WaitGroup
	for n := range streams {
		wait.Go(func() {
			time.Sleep(time.Duration(n) * 15 * time.Millisecond)
			c := call{
				gateway: w.gateways[n%4], method: http.MethodPost, path: fmt.Sprintf("/pufi791/%02x", n), attempt: fmt.Sprintf("9c41d07be2a3%04x", n),
				key: clientKey, deadline: 12 * time.Second, session: 1 + n%24, body: make([]byte, 830),
			}
			answers[n] = c.do()
		})
	}
	time.Sleep(1600 * time.Millisecond)
	if w.hasTrouble {
		isGrey.Store(true)
		w.note("the runners fail part of their requests")
		time.AfterFunc(greyTime, func() { isGrey.Store(false) })
		time.Sleep(200 * time.Millisecond)
		for _, r := range runners[:3] {
			r.crash()
			w.note("runner %s crashes", r.id)
		}
	}
	wait.Wait()
	mixed := 0
	for n, a := range answers {
		if a.status == http.StatusOK && strings.Contains(a.body, failureText) {
			mixed++
			w.note("MIXED: stream %d has status 200, ends as complete: %v, and holds a runner's failure: ...%q", n, a.isComplete, a.body[len(a.body)-60:])
		}
	}
	isOrderBroken := w.judgeStreams(answers)
	w.note("MIXED: %d of %d clients got a success that holds a failure; ORDER broken: %v", mixed, streams, isOrderBroken)

	return mixed > 0, nil
}
