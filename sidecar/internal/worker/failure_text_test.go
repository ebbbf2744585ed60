package worker

import (
	"errors"
	"net/http"
	"strings"
	"testing"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/scripter"
	"cardamompulley/fleet/timekeeper"
	"cardamompulley/sidecar/internal/relayer"
)

// Guards against the bytes and the address of an endpoint in what callers are told.
func TestCallerIsNotToldWhatEndpointSent(t *testing.T) {
	answers := map[string]string{
		"no answer":      "secret-7\r\n\r\n",
		"status":         "HTTP/1.1 secret-7 OK\r\n\r\n",
		"name":           "HTTP/1.1 200 OK\r\nsecret-7(: v\r\n\r\n",
		"length":         "HTTP/1.1 200 OK\r\nContent-Length: secret-7\r\n\r\n",
		"trailing field": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nsecret-7\r\n\r\n",
		"nothing":        "",
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			r := relayer.NewRelayer("http://"+scripter.ServeAnswer(t, answer), timekeeper.Minute, timekeeper.NewSystemClock())
			_, err := r.Relay(t.Context(), &relayer.Request{Method: http.MethodPost, Path: "/"}, relayer.Sink{
				OnHead:  func(relayer.Head) error { return nil },
				OnPiece: func([]byte) error { return nil },
			})
			refusal := newRelayRefusal(err)
			if err == nil || refusal.Outcome != model.OutcomeUnknown {
				t.Errorf("%v: outcome %s", err, refusal.Outcome)
			}
			for _, s := range []string{"secret", "127.0.0.1"} {
				if strings.Contains(refusal.Detail, s) {
					t.Errorf("callers are told %q", refusal.Detail)
				}
			}
		})
	}
	if detail := newRelayRefusal(errors.New("other")).Detail; detail == "" || strings.Contains(detail, "other") {
		t.Errorf("detail %q of an unknown error", detail)
	}
}
