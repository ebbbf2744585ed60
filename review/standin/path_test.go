package review

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["encoded-slash"] = playEncodedSlash }

// playEncodedSlash has the operator add a public route below a route that needs a key, while clients use paths with an encoded slash,
// which no version of the configuration sends to the new route's service.
func playEncodedSlash(w *world) (bool, error) {
	private := route{name: "r-1", prefix: "/cuti104/", kind: "safe", service: records, timeoutMS: 600, attempts: 2}
	public := route{name: "r-2", prefix: "/cuti104/lo20/", kind: "safe", service: "notice-app", timeoutMS: 600, attempts: 2, isPublic: true}
	w.putConfiguration(7, private)
	for n := range 4 {
		if _, err := w.startRunner(fmt.Sprintf("i-1edc%04x", n), zones[n], records, 6, plainAnswer); err != nil {
			return false, err
		}
		if _, err := w.startRunner(fmt.Sprintf("i-2a11%04x", n), zones[n], "notice-app", 6, plainAnswer); err != nil {
			return false, err
		}
	}
	if err := w.startGateways(); err != nil {
		return false, err
	}
	if w.hasTrouble {
		w.putConfiguration(9, private, public)
		time.Sleep(configApply + 500*time.Millisecond)
	}
	isUnknownKey := map[string]bool{}
	for n := range 20 {
		for _, key := range []string{clientKey, "no-such-key"} {
			c := call{
				gateway: w.gateways[n%4], method: http.MethodGet, path: fmt.Sprintf("/cuti104/lo20%%2F%04d", n),
				attempt: fmt.Sprintf("9c41d07b%04x%04x", len(key), n), key: key, deadline: 600 * time.Millisecond,
			}
			isUnknownKey[c.attempt] = key != clientKey
			a := c.do()
			w.note("request %s %s with key %s: status %d, error %v", c.attempt, c.path, key, a.status, a.err)
		}
	}
	wrongService, wrongKey := 0, 0
	for _, a := range w.allArrivals() {
		if a.service != records {
			wrongService++
		}
		if isUnknownKey[a.attempt] {
			wrongKey++
		}
	}
	w.note("ROUTE: %d requests were run by a service to which no configuration sends them; %d ran with an unknown key", wrongService, wrongKey)

	return wrongService+wrongKey > 0, nil
}
