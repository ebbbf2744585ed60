package review

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() {
	cases["late-after-drain"] = playLateAfterDrain
	cases["late-after-evacuation"] = playLateAfterEvacuation
}

var draftRoute = route{name: "r-1", prefix: "/lohu930/", kind: "stream", service: engines, timeoutMS: 12000, attempts: 1}

// startTwelve starts the runners of the site and its gateways.
func (w *world) startTwelve() ([]*runner, error) {
	w.putConfiguration(7, draftRoute)
	var runners []*runner
	for n := range 12 {
		r, err := w.startRunner(fmt.Sprintf("i-%08x", 0x7f3a0000+n), zones[n%4], engines, 64, streamOf(streamEvents, eventPause, draft))
		if err != nil {
			return nil, err
		}
		runners = append(runners, r)
	}

	return runners, w.startGateways()
}

// sendUploads has clients send drafts of 12,000 bytes, each of which takes a time to send, and waits for the answers.
func (w *world) sendUploads(count int, upload time.Duration) []answer {
	answers := make([]answer, count)
	var wait sync.WaitGroup
	for n := range count {
		wait.Go(func() {
			c := call{
				gateway: w.gateways[n%4], method: http.MethodPost, path: fmt.Sprintf("/lohu930/%02x", n), attempt: fmt.Sprintf("9c41d07be2a3%04x", n),
				key: clientKey, deadline: 12 * time.Second, session: 1 + n%24, body: make([]byte, 12000), upload: upload,
			}
			answers[n] = c.do()
			w.note("request %s: status %d, complete %v, error %v", c.attempt, answers[n].status, answers[n].isComplete, answers[n].err)
		})
	}
	wait.Wait()

	return answers
}

// exitAfter is how long after its drain time a leaving runner exits.
const exitAfter = 3 * time.Second

// playLateAfterDrain has three of twelve runners leave while clients send the bodies of their requests.
func playLateAfterDrain(w *world) (bool, error) {
	runners, err := w.startTwelve()
	if err != nil {
		return false, err
	}
	drainedAt := map[string]time.Time{}
	var wait sync.WaitGroup
	if w.hasTrouble {
		wait.Go(func() {
			time.Sleep(time.Second)
			for _, r := range runners[:3] {
				at := r.drain()
				drainedAt[r.id] = at
				w.note("runner %s is draining; the store has confirmed it", r.id)
				time.AfterFunc(drainTime+exitAfter, func() {
					w.note("runner %s exits", r.id)
					r.leave()
				})
			}
		})
	}
	w.sendUploads(48, 5*time.Second)
	wait.Wait()

	return w.judgeLate("DRAIN", drainTime, func(a arrival) (time.Time, bool) {
		at, ok := drainedAt[a.runner]

		return at, ok
	}), nil
}

// playLateAfterEvacuation has a zone emptied while clients send the bodies of their requests.
func playLateAfterEvacuation(w *world) (bool, error) {
	if _, err := w.startTwelve(); err != nil {
		return false, err
	}
	var evacuatedAt time.Time
	var wait sync.WaitGroup
	if w.hasTrouble {
		wait.Go(func() {
			time.Sleep(time.Second)
			w.store.put("op/evacuate/hn-b", map[string]any{})
			evacuatedAt = time.Now()
			w.note("the evacuation of hn-b is confirmed")
		})
	}
	w.sendUploads(48, 8*time.Second)
	wait.Wait()

	return w.judgeLate("EVAC", evacuate, func(a arrival) (time.Time, bool) {
		return evacuatedAt, w.hasTrouble && a.zone == "hn-b"
	}), nil
}

// judgeLate reports whether a request reached a runner later than bound after a confirmation.
func (w *world) judgeLate(rule string, bound time.Duration, confirmed func(arrival) (time.Time, bool)) bool {
	late := 0
	all := w.allArrivals()
	for _, a := range all {
		if at, ok := confirmed(a); ok && a.at.Sub(at) > bound {
			late++
			w.note("%s: request %s reached runner %s in %s %d ms after the confirmation", rule, a.attempt, a.runner, a.zone, a.at.Sub(at).Milliseconds())
		}
	}
	w.note("%s: %d of %d arrivals were later than %d ms after the confirmation", rule, late, len(all), bound.Milliseconds())

	return late > 0
}
