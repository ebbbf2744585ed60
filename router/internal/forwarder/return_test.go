package forwarder

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// newForwarderWithoutView returns a forwarder that has just started, and what it logs.
func newForwarderWithoutView(outlook func() StateOutlook) (*Forwarder, *bytes.Buffer) {
	f := newTestForwarder("127.0.0.1:1")
	log := &bytes.Buffer{}
	f.log = logger.NewLogger(log, "gateway")
	f.CurrentView = func() *cataloguer.View { return nil }
	f.StateReady = make(chan struct{})
	f.StateOutlook = outlook

	return f, log
}

// sendWithTimeout sends a request of a caller that waits for a time and returns the response.
func sendWithTimeout(f *Forwarder, id string, timeout timekeeper.Millis) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodGet, "http://a/", nil)
	r.Header.Set("Cardamompulley-Attempt-Id", id)
	r.Header.Set("Cardamompulley-Deadline-Ms", strconv.Itoa(int(timeout)))
	f.ServeHTTP(w, r)

	return w
}

// retryAfter returns the Retry-After of a response.
func retryAfter(t *testing.T, w *httptest.ResponseRecorder) timekeeper.Millis {
	t.Helper()
	seconds, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
	if err != nil {
		t.Fatalf("Retry-After of status %d: %v", w.Code, err)
	}

	return timekeeper.Millis(seconds*1000 + 0.5)
}

// Before a configuration is known, all callers came back together after 500 ms, and the log lines named no request. While the store is
// away they are refused at once, each for a time of its own within the third of its time that it honours.
func TestStartWhileTheStoreIsAway(t *testing.T) {
	f, log := newForwarderWithoutView(func() StateOutlook { return OutlookAway })
	begun := time.Now()
	times := map[timekeeper.Millis]int{}
	for n := range 100 {
		w := sendWithTimeout(f, fmt.Sprintf("caller-%d", n), 15_000)
		after := retryAfter(t, w)
		if w.Code != http.StatusServiceUnavailable || after < 2400 || after > 5000 {
			t.Fatalf("status %d, Retry-After %d ms, want 503 and half to the whole of a third of 15 s", w.Code, after)
		}
		times[after/500]++
	}
	if took := time.Since(begun); took > 250*time.Millisecond {
		t.Errorf("100 callers were refused in %v, want at once", took)
	}
	for slot, n := range times {
		if n > 50 {
			t.Errorf("%d of 100 callers come back after about %d ms", n, slot*500)
		}
	}
	for _, field := range []string{"request=caller-0 ", "request=caller-99 ", "return-window-ms=", "code=not-ready"} {
		if !strings.Contains(log.String(), field) {
			t.Errorf("no %q in the log", field)
		}
	}
	if out := f.CallersOut(); out != 100 {
		t.Errorf("%d callers are to come back, want 100", out)
	}
	if after := retryAfter(t, sendWithTimeout(f, "hasty", 600)); after > 200 {
		t.Errorf("a caller with 600 ms is told %d ms", after)
	}
}

// While the first state may come, requests wait for it a short time, and are then told to come back no earlier than it has taken so far.
func TestStartWhileTheStateIsComing(t *testing.T) {
	f, _ := newForwarderWithoutView(func() StateOutlook { return OutlookOpen })
	after := retryAfter(t, sendWithTimeout(f, "early", 15_000))
	if refusedAfter := f.clock.Now() - f.startedAt; refusedAfter < maxStartupWait {
		t.Errorf("refused %d ms after the start, want the wait for the first state", refusedAfter)
	}
	if after < maxStartupWait || after > 5000 {
		t.Errorf("Retry-After %d ms", after)
	}
}

// A store that has no configuration answers, and a gateway without others asks nobody in vain: callers are not told to stay away for as long
// as the process has run.
func TestLongStartTellsNoLongerTimes(t *testing.T) {
	for _, outlook := range []StateOutlook{OutlookOpen, OutlookArriving} {
		for _, running := range []timekeeper.Millis{2 * timekeeper.Second, timekeeper.Minute, timekeeper.Hour} {
			f, _ := newForwarderWithoutView(func() StateOutlook { return outlook })
			f.startedAt -= running
			if after := retryAfter(t, sendWithTimeout(f, "a", 15_000)); after < 2400 || after > 5000 {
				t.Errorf("outlook %d, %d ms after the start: Retry-After %d ms, want half to the whole of a third of 15 s", outlook, running, after)
			}
		}
	}
}

// A request that waits is refused as soon as the store is known to be away, and served as soon as the state is there.
func TestWaitForStateEnds(t *testing.T) {
	begun := time.Now()
	f, _ := newForwarderWithoutView(func() StateOutlook {
		if time.Since(begun) < 60*time.Millisecond {
			return OutlookOpen
		}

		return OutlookAway
	})
	if w := sendWithTimeout(f, "a", 15_000); w.Code != http.StatusServiceUnavailable || time.Since(begun) > 200*time.Millisecond {
		t.Errorf("status %d after %v", w.Code, time.Since(begun))
	}
	served := newTestForwarder(listenWithAnswers(t, true, testResponse))
	ready := make(chan struct{})
	served.StateReady = ready
	time.AfterFunc(30*time.Millisecond, func() { close(ready) })
	if w, isWhole := serve(served, "a"); !isWhole || w.Code != http.StatusOK {
		t.Errorf("status %d: %s", w.Code, w.Body)
	}
}

// A part of the state is there when the wait after a start is over: a caller with time waits for the rest, one without is refused.
func TestWaitForTheRestOfTheState(t *testing.T) {
	cases := []struct {
		outlook StateOutlook
		timeout timekeeper.Millis
		waits   bool
	}{
		{OutlookArriving, 15_000, true},
		{OutlookArriving, 600, false},
		{OutlookOpen, 15_000, false},
	}
	for _, c := range cases {
		f, _ := newForwarderWithoutView(func() StateOutlook { return c.outlook })
		sendWithTimeout(f, "a", c.timeout)
		refusedAfter := f.clock.Now() - f.startedAt
		if refusedAfter < maxStartupWait || (refusedAfter >= maxArrivingWait) != c.waits {
			t.Errorf("outlook %d, a caller with %d ms: refused %d ms after the start", c.outlook, c.timeout, refusedAfter)
		}
	}
}

// Refusals that are not about room keep the time that they have: what is told of a quarantine, and of a gateway that stops.
func TestOtherRefusalsAreNotDeferred(t *testing.T) {
	f := newTestForwarder("127.0.0.1:1")
	p := newProxiedRequest(f, httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "http://a/", nil))
	p.metadata.Timeout = 15_000
	for _, r := range []*model.Refusal{
		model.NewRefusal(model.CodeRequestQuarantined, "").WithRetryAfter(700),
		model.NewRefusal(model.CodeSoftwareGone, "").WithRetryAfter(700),
		model.NewRefusal(model.CodeStreamOriginUnknown, "").WithRetryAfter(700),
		shutdownRefusal(),
		model.NewRefusal(model.CodeEndpointFailed, "").WithRetryAfter(700).WithOutcome(model.OutcomeUnknown),
	} {
		p.view = f.CurrentView()
		if back := p.deferReturn(r); back.After != r.RetryAfter || back.Window != 0 {
			t.Errorf("%s: %+v", r.Code, back)
		}
	}
	p.view = nil
	if back := p.deferReturn(shutdownRefusal()); back.After != shutdownRetryAfter {
		t.Errorf("a gateway that stops before it has a configuration: %+v", back)
	}
}

// The account's priority counts before the route's; without a route there is none.
func TestPriorityOfRefusal(t *testing.T) {
	p := &proxiedRequest{}
	if p.configuredPriority() != 0 {
		t.Error("a priority is known without a configuration")
	}
	p.route = &cataloguer.Route{Priority: 2}
	if p.configuredPriority() != 2 {
		t.Error("the route's priority is not used")
	}
	p.account = cataloguer.Account{Priority: 1, HasPriority: true}
	if p.configuredPriority() != 1 {
		t.Error("the account's priority is not used")
	}
}
