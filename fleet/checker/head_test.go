package checker

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
)

func TestCheckHeadTellsStatuses(t *testing.T) {
	for status, isAnswer := range map[int]bool{
		-1: false, 0: false, 1: false, 99: false, 100: true, 101: false, 103: true, 199: true, 200: true, 299: true, 404: true, 599: true,
		600: false, 999: false,
	} {
		err := CheckHead(&http.Response{ProtoMajor: 1, ProtoMinor: 1, StatusCode: status})
		if errors.Is(err, ErrMalformed) == isAnswer {
			t.Errorf("%d: %v, want an answer: %v", status, err, isAnswer)
		}
	}
}

// Guards against a name of a field that net/http reads as that of another field, or not at all.
func TestFieldNamesHoldNoBlank(t *testing.T) {
	for line, isMalformed := range map[string]bool{
		"X-A: v": false, "!#$%&'*+-.^_`|~9: v": false, "X-A:": false, "Trailer: X-B": false,
		"X-A : v": true, "X A: v": true, "Content-Length : 2": true, "Transfer-Encoding : chunked": true,
	} {
		head := "HTTP/1.1 200 OK\r\n" + line + "\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
		if err, _ := check(t, head); errors.Is(err, ErrMalformed) != isMalformed {
			t.Errorf("head with %q: %v, want malformed: %v", line, err, isMalformed)
		}
		if strings.HasPrefix(line, "Trailer") {
			continue
		}
		trailing := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" + line + "\r\n\r\n"
		if _, err := check(t, trailing); errors.Is(err, ErrMalformed) != isMalformed {
			t.Errorf("trailing head with %q: %v, want malformed: %v", line, err, isMalformed)
		}
	}
}

// check returns what is wrong with the head of an answer, and with its body and what follows that.
func check(t *testing.T, answer string) (head, body error) {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(answer)), &http.Request{Method: http.MethodGet})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	_, body = io.ReadAll(NewBody(response))

	return CheckHead(response), body
}
