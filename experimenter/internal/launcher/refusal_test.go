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

// A refusal must be a problem document with a stable code. Its outcome must be not-run only if the request has certainly not
// been executed: a request with an idempotency key may have been executed by an earlier attempt.
func TestRouterRefusals(t *testing.T) {
	f := launch(t, nil)
	knownClient := clientOf(f, 0)
	unknownClient := caller.NewClient(f.Routers[0].Address("callers"), "stranger")
	const chatPath = "/v1/chat/completions"
	cases := []struct {
		name    string
		client  *caller.Client
		method  string
		path    string
		body    string
		headers map[string]string
		status  int
		code    string
		outcome string
	}{
		{"unknown account", unknownClient, http.MethodPost, chatPath, `{}`, nil, 401, "unauthorized", "not-run"},
		{"unknown account, keyed", unknownClient, http.MethodPost, chatPath, `{}`, map[string]string{"Idempotency-Key": "k"}, 401, "unauthorized", "unknown"},
		{"malformed body", knownClient, http.MethodPost, chatPath, `{`, nil, 400, "bad-request", "not-run"},
		{"unknown model", knownClient, http.MethodPost, chatPath, `{"model": "x", "messages": [{"role": "user", "content": "a"}]}`,
			nil, 404, "unknown-model", "not-run"},
		{"unknown service", knownClient, http.MethodGet, "/services/none/x", "", nil, 404, "unknown-service", "not-run"},
		{"engine called as plain service", knownClient, http.MethodGet, "/services/coach-llm/x", "", nil, 404, "unknown-service", "not-run"},
		{"key required", knownClient, http.MethodPost, "/services/lane-app/bookings", `{}`, nil, 400, "idempotency-key-required", "not-run"},
		{"key without creation time", knownClient, http.MethodPost, "/services/lane-app/bookings", `{}`, map[string]string{"Idempotency-Key": "opaque"}, 409, "idempotency-key-unprovable", "unknown"},
		{"key too long", knownClient, http.MethodPost, "/services/lane-app/bookings", `{}`, map[string]string{"Idempotency-Key": strings.Repeat("k", 300)}, 400, "bad-request", "unknown"},
		{"bad deadline", knownClient, http.MethodGet, "/services/lane-app/lookup/a", "", map[string]string{"Deadline": "soon"}, 400, "bad-request", "not-run"},
		{"bad priority", knownClient, http.MethodGet, "/services/lane-app/lookup/a", "", map[string]string{"X-Priority": "vip"}, 400, "bad-request", "not-run"},
		{"unknown path", knownClient, http.MethodGet, "/nowhere", "", nil, 404, "bad-request", "not-run"},
		{"streamed with a key", knownClient, http.MethodPost, chatPath, `{"model": "coach-1", "stream": true, "messages": [{"role": "user", "content": "a"}]}`, map[string]string{"Idempotency-Key": "k"}, 400, "bad-request", "unknown"},
		{"body over the limit", knownClient, http.MethodPost, chatPath, strings.Repeat("x", 5<<20), nil, 413, "body-too-large", "not-run"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r, err := c.client.Call(c.method, c.path, []byte(c.body), c.headers)
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
		var executions map[string]int
		if err != nil || json.NewDecoder(bytes.NewBufferString(text)).Decode(&executions) != nil || len(executions) > 0 {
			t.Fatalf("%s executed %v (%v)", id, executions, err)
		}
	}
}
