package review

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["repeated-pieces"] = func(w *world) (bool, error) { return playResumedStreams(w, draft) }
	// For comparison: the same with texts that hold no "id:".
	cases["pieces-without-colon"] = func(w *world) (bool, error) {
		return playResumedStreams(w, func(path string, n int) string { return strings.ReplaceAll(draft(path, n), ":", " -") })
	}
}

const (
	streamEvents = 42
	eventPause   = 60 * time.Millisecond
)

// minutes are the words that the runners' drafts are made of.
var minutes = []string{
	"The chair opened the meeting at nine.", "Ms Lan said: the budget was late.", "Invoice 12 was paid: 300.", "The motion was read.",
	"Mr Binh said: I second the motion.", "The vote was taken.", "The clerk noted the result.", "The bridge is to be repaired.",
	"The amendment was found valid: no objection.", "The meeting was adjourned.",
}

// draft returns the text of an event, which depends on the request only.
func draft(path string, n int) string {
	return minutes[(n*7+len(path)+int(path[len(path)-1]))%len(minutes)]
}

// playResumedStreams has clients read resumable streams while three of twelve runners crash.
func playResumedStreams(w *world, text func(path string, n int) string) (bool, error) {
	w.putConfiguration(7, route{name: "r-1", prefix: "/pufi791/", kind: "stream", service: engines, timeoutMS: 12000, attempts: 2, isResumable: true})
	var runners []*runner
	for n := range 12 {
		r, err := w.startRunner(fmt.Sprintf("i-%08x", 0x7f3a0000+n), zones[n%4], engines, 64, streamOf(streamEvents, eventPause, text))
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
	time.Sleep(1800 * time.Millisecond)
	if w.hasTrouble {
		for _, r := range runners[:3] {
			r.crash()
			w.note("runner %s crashes", r.id)
		}
	}
	wait.Wait()

	return w.judgeStreams(answers), nil
}

// judgeStreams reports whether a stream has a piece twice, misses one, or ends as complete before its last piece.
func (w *world) judgeStreams(answers []answer) bool {
	broken, complete, aborted, refused := 0, 0, 0, 0
	for n, a := range answers {
		list, _ := events(a.body)
		switch {
		case a.status != http.StatusOK:
			refused++
		case a.isComplete:
			complete++
		default:
			aborted++
		}
		if a.status != http.StatusOK {
			continue
		}
		wrong := ""
		for i, e := range list {
			if e.id != i+1 && wrong == "" {
				wrong = fmt.Sprintf("its event %d has id %d", i+1, e.id)
			}
		}
		if a.isComplete && wrong == "" && len(list) != streamEvents {
			wrong = fmt.Sprintf("it ends as complete after %d of %d events", len(list), streamEvents)
		}
		if wrong != "" {
			broken++
			w.note("ORDER: stream %d: %s", n, wrong)
		}
	}
	w.note("streams: %d complete, %d broken off, %d refused; ORDER broken in %d", complete, aborted, refused, broken)

	return broken > 0
}
