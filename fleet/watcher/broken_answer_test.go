package watcher

import (
	"errors"
	"net/http"
	"testing"

	"cardamompulley/fleet/scripter"
)

// newClientOf returns a client of services that give one answer to each call and close the connection.
func newClientOf(t *testing.T, answer string) *Client {
	t.Helper()
	url := "http://" + scripter.ServeAnswer(t, answer)

	return NewClient(url, url, &http.Transport{})
}

// Guards against a broken answer that is taken for a VM list without VMs, or for a manifest.
func TestBrokenAnswerIsNoState(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, answer := range map[string]string{
		"null":                        ok + "\r\nnull",
		"empty":                       ok + "\r\n",
		"cut":                         ok + "\r\n" + `[{"id": "vm-1"`,
		"shorter than its length":     ok + "Content-Length: 9\r\n\r\n[]",
		"status 000":                  "HTTP/1.1 000 X\r\n\r\n[]",
		"status 101":                  "HTTP/1.1 101 X\r\n\r\n[]",
		"a blank in a field's name":   ok + "Content-Length : 9\r\n\r\n[]",
		"a blank in a trailing name":  ok + "Transfer-Encoding: chunked\r\n\r\n2\r\n[]\r\n0\r\nX A: v\r\n\r\n",
		"not modified, though no tag": "HTTP/1.1 304 N\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			if vms, err := newClientOf(t, answer).VMs(t.Context()); !errors.Is(err, ErrUnavailable) {
				t.Errorf("%d VMs, %v, want %v", len(vms), err, ErrUnavailable)
			}
		})
	}
	if vms, err := newClientOf(t, ok+"\r\n[]").VMs(t.Context()); err != nil || len(vms) > 0 {
		t.Errorf("%d VMs, %v, want an empty list", len(vms), err)
	}
	for _, head := range []string{"HTTP/1.1 200 OK\r\nX A: v", "HTTP/1.1 204 N\r\nX A: v", "HTTP/1.1 000 X"} {
		if raw, err := newClientOf(t, head+"\r\n\r\n").Manifest(t.Context()); !errors.Is(err, ErrUnavailable) {
			t.Errorf("%q: manifest %q, %v, want %v", head, raw, err, ErrUnavailable)
		}
	}
}
