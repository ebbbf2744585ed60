package launcher_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"cardamompulley/experimenter/internal/caller"
	"cardamompulley/experimenter/internal/launcher"
	"cardamompulley/fleet/model"
)

// TestCallersContract checks that every refusal is a problem document with a stable code and a true outcome.
func TestCallersContract(t *testing.T) {
	f := launch(t, nil)
	good := callerOf(f, 0)
	stranger := caller.NewCaller(f.Routers[0].Address("callers"), "stranger")
	const chats = "/v1/chat/completions"
	cases := []struct {
		name    string
		caller  *caller.Caller
		method  string
		path    string
		body    string
		headers map[string]string
		status  int
		code    string
		outcome string
	}{
		{"unknown account", stranger, http.MethodPost, chats, `{}`, nil, 401, "unauthorized", "not-run"},
		{"unknown account, keyed", stranger, http.MethodPost, chats, `{}`, map[string]string{"Idempotency-Key": "k"}, 401, "unauthorized", "unknown"},
		{"malformed body", good, http.MethodPost, chats, `{`, nil, 400, "bad-request", "not-run"},
		{"unknown model", good, http.MethodPost, chats, `{"model": "x", "messages": [{"role": "user", "content": "a"}]}`, nil, 404, "unknown-model", "not-run"},
		{"unknown service", good, http.MethodGet, "/services/none/x", "", nil, 404, "unknown-service", "not-run"},
		{"engine as plain service", good, http.MethodGet, "/services/coach-llm/x", "", nil, 404, "unknown-service", "not-run"},
		{"key required", good, http.MethodPost, "/services/lane-app/bookings", `{}`, nil, 400, "idempotency-key-required", "not-run"},
		{"old key", good, http.MethodPost, "/services/lane-app/bookings", `{}`, map[string]string{"Idempotency-Key": "opaque"}, 409, "idempotency-key-unprovable", "unknown"},
		{"key too long", good, http.MethodPost, "/services/lane-app/bookings", `{}`, map[string]string{"Idempotency-Key": strings.Repeat("k", 300)}, 400, "bad-request", "unknown"},
		{"bad deadline", good, http.MethodGet, "/services/lane-app/lookup/a", "", map[string]string{"Deadline": "soon"}, 400, "bad-request", "not-run"},
		{"bad priority", good, http.MethodGet, "/services/lane-app/lookup/a", "", map[string]string{"X-Priority": "vip"}, 400, "bad-request", "not-run"},
		{"unknown path", good, http.MethodGet, "/nowhere", "", nil, 404, "bad-request", "not-run"},
		{"streamed with a key", good, http.MethodPost, chats, `{"model": "coach-1", "stream": true, "messages": [{"role": "user", "content": "a"}]}`, map[string]string{"Idempotency-Key": "k"}, 400, "bad-request", "unknown"},
		{"body over the limit", good, http.MethodPost, chats, strings.Repeat("x", 5<<20), nil, 413, "body-too-large", "not-run"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r, err := c.caller.Call(c.method, c.path, []byte(c.body), c.headers)
			if err != nil {
				t.Fatal(err)
			}
			if r.Status != c.status || r.Code != c.code || r.Outcome != c.outcome {
				t.Fatalf("got %d %s %s, want %d %s %s", r.Status, r.Code, r.Outcome, c.status, c.code, c.outcome)
			}
		})
	}
	for _, id := range []model.EndpointID{"lane-1", "lane-2"} {
		text, err := launcher.Fetch("http://" + f.Endpoints[id].Address("standin") + "/runs")
		var runs map[string]int
		if err != nil || json.NewDecoder(bytes.NewBufferString(text)).Decode(&runs) != nil || len(runs) > 0 {
			t.Fatalf("%s ran %v (%v)", id, runs, err)
		}
	}
}
