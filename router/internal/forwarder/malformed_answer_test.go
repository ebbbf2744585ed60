package forwarder

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// callerTimeoutMillis is how long callers of these tests wait.
const callerTimeoutMillis = "2000"

// serveAnswer sends a request to an endpoint that gives an answer, and returns the response. The endpoint closes the connection after the
// answer if closes is true.
func serveAnswer(t *testing.T, closes bool, answer string) (w *httptest.ResponseRecorder, isWhole bool) {
	t.Helper()
	w = httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodGet, "http://a/", nil)
	r.Header.Set("Cardamompulley-Attempt-Id", "a")
	r.Header.Set("Cardamompulley-Deadline-Ms", callerTimeoutMillis)
	defer func() {
		if recover() != nil {
			isWhole = false
		}
	}()
	newTestForwarder(listenWithAnswers(t, closes, answer)).ServeHTTP(w, r)

	return w, true
}

// checkNoAnswer checks that what an endpoint sends is not passed on: that the caller gets a failure of the gateway, before its time is up.
func checkNoAnswer(t *testing.T, closes bool, answer string) {
	t.Helper()
	w, isWhole := serveAnswer(t, closes, answer)
	if w.Code != http.StatusBadGateway || !isWhole {
		t.Errorf("status %d, head %v, body %q, want 502", w.Code, w.Header(), w.Body)
	}
}

// Guards against an answer whose status is none, taken for an interim answer or passed on.
func TestAnswerWithStatusThatIsNoneIsNotPassedOn(t *testing.T) {
	const head = signedHead + "Content-Length: 2\r\n\r\n"
	for _, status := range []string{"000", "001", "042", "099", "+20", "-00", "600", "700", "999", "101"} {
		t.Run(status, func(t *testing.T) {
			checkNoAnswer(t, false, "HTTP/1.1 "+status+" X\r\n"+head+"ok")
		})
		t.Run(status+" before what looks like an answer", func(t *testing.T) {
			checkNoAnswer(t, false, "HTTP/1.1 "+status+" X\r\n\r\nHTTP/1.1 200 OK\r\n"+signedHead+"Content-Length: 8\r\n\r\nsmuggled")
		})
		t.Run(status+" after an interim answer", func(t *testing.T) {
			checkNoAnswer(t, false, "HTTP/1.1 103 E\r\nLink: x\r\n\r\nHTTP/1.1 "+status+" X\r\n"+head+"ok")
		})
	}
}

// Interim answers of any number are none of the answer.
func TestAnswerAfterInterimAnswersIsPassedOn(t *testing.T) {
	for _, status := range []string{"100", "102", "103", "199"} {
		interim := strings.Repeat("HTTP/1.1 "+status+" I\r\nLink: x\r\n\r\n", 3)
		w, _ := serveAnswer(t, false, interim+testResponse)
		if w.Code != http.StatusOK || w.Body.String() != "ok" || w.Header().Get("Link") != "" {
			t.Errorf("after %s: status %d, head %v, body %q", status, w.Code, w.Header(), w.Body)
		}
	}
}

// Guards against a stream that goes on with an answer whose status is none.
func TestStreamDoesNotGoOnWithStatusThatIsNone(t *testing.T) {
	for _, status := range []string{"000", "099", "600"} {
		next := "HTTP/1.1 " + status + " X\r\n" + signedHead + eventsHead + "\r\nid: 2\ndata\n\n"
		if w, isWhole := serve(newResumingForwarder(t, next), "a"); isWhole {
			t.Errorf("%s: the response ends as complete, body %q", status, w.Body)
		}
	}
}

// malformedLines are lines of a head of which the name is none.
var malformedLines = []string{
	"X-A : v", "X A: v", " X-A: v", "X-A\t: v", "X\x01A: v", "X\x00A: v", "X\x7fA: v", "X\x80A: v", "X(A): v", ": v", "X-A", "Content-Length : 2",
	"Content-Length : 40", "Transfer-Encoding : chunked", "Cardamompulley-Attempt-Id : b", "Connection : close",
}

// Guards against an answer in whose head the name of a field holds a blank or a control byte: passed on without the line, or with a body
// that is not what the endpoint meant.
func TestAnswerWithMalformedFieldNameIsNotPassedOn(t *testing.T) {
	const sized = "Content-Length: 2\r\n\r\nok"
	for _, line := range malformedLines {
		heads := map[string]string{
			"final":                 "HTTP/1.1 200 OK\r\n" + line + "\r\n" + signedHead + sized,
			"final, of an error":    "HTTP/1.1 500 E\r\n" + line + "\r\n" + signedHead + sized,
			"final, without length": "HTTP/1.1 200 OK\r\n" + line + "\r\n" + signedHead + "Connection: close\r\n\r\nok",
			"interim":               "HTTP/1.1 103 E\r\n" + line + "\r\n\r\nHTTP/1.1 200 OK\r\n" + signedHead + sized,
			"trailing":              "HTTP/1.1 200 OK\r\n" + signedHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" + line + "\r\n\r\n",
		}
		for name, answer := range heads {
			t.Run(fmt.Sprintf("%s %q", name, line), func(t *testing.T) {
				checkNoAnswer(t, true, answer)
			})
		}
	}
}

// Guards against a large answer, or a stream, that ends as complete although its trailing head is none.
func TestResponseThatHasBegunBreaksOffAtMalformedTrailer(t *testing.T) {
	const chunked = "Transfer-Encoding: chunked\r\n"
	for _, line := range malformedLines {
		answers := map[string]string{
			"large":  "HTTP/1.1 200 OK\r\n" + signedHead + chunked + "\r\n20000\r\n" + strings.Repeat("p", 0x20000) + "\r\n0\r\n" + line + "\r\n\r\n",
			"stream": streamHead + firstChunk + "0\r\n" + line + "\r\n\r\n",
		}
		for name, answer := range answers {
			t.Run(fmt.Sprintf("%s %q", name, line), func(t *testing.T) {
				if _, isWhole := serveAnswer(t, false, answer); isWhole {
					t.Error("the response ends as complete")
				}
			})
		}
	}
}

// A trailing head and unusual names of fields are no fault of an answer.
func TestAnswerWithUnusualFieldsIsPassedOn(t *testing.T) {
	answers := map[string]string{
		"trailer": "HTTP/1.1 200 OK\r\n" + signedHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Digest: d\r\n\r\n",
		"names":   "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~: v\r\n9: v\r\n" + signedHead + "Content-Length: 2\r\n\r\nok",
		"values":  "HTTP/1.1 200 OK\r\nX-A: \tv w \x80\r\nX-B:\r\n" + signedHead + "Content-Length: 2\r\n\r\nok",
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			w, _ := serveAnswer(t, false, answer)
			if w.Code != http.StatusOK || w.Body.String() != "ok" {
				t.Errorf("status %d, body %q", w.Code, w.Body)
			}
		})
	}
}

// Bytes that begin no answer fail their request at once, also if no more of them come.
func TestFewBytesThatAreNoAnswerFailAtOnce(t *testing.T) {
	for _, answer := range []string{"\r\n", "no\n", "HTTP/1\r\n", "HTTP/1.0\r\n"} {
		checkNoAnswer(t, false, answer)
	}
}

// Guards against an answer of another version of the protocol, whose framing is not that of this one.
func TestAnswerOfOtherVersionIsNotPassedOn(t *testing.T) {
	const chunks = "\r\n2\r\nok\r\n0\r\n\r\n"
	answers := map[string]string{
		"2.0":                            "HTTP/2.0 200 OK\r\n" + signedHead + "Content-Length: 2\r\n\r\nok",
		"0.9":                            "HTTP/0.9 200 OK\r\n" + signedHead + "Content-Length: 2\r\n\r\nok",
		"3.1":                            "HTTP/3.1 200 OK\r\n" + signedHead + "Content-Length: 2\r\n\r\nok",
		"2.0, interim":                   "HTTP/2.0 100 C\r\n\r\nHTTP/1.1 200 OK\r\n" + signedHead + "Content-Length: 2\r\n\r\nok",
		"1.0, interim":                   "HTTP/1.0 100 C\r\n\r\nHTTP/1.0 200 OK\r\n" + signedHead + "Content-Length: 2\r\n\r\nok",
		"1.0 with chunks":                "HTTP/1.0 200 OK\r\n" + signedHead + "Transfer-Encoding: chunked\r\n" + chunks,
		"1.0 with chunks and a length":   "HTTP/1.0 200 OK\r\n" + signedHead + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n" + chunks,
		"1.0 with a coding that is none": "HTTP/1.0 200 OK\r\n" + signedHead + "Transfer-Encoding: x\r\n" + chunks,
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			checkNoAnswer(t, true, answer)
		})
	}
}

// An answer of HTTP/1.0 has a length or ends with its connection.
func TestAnswerOfEarlierVersionIsPassedOn(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.0 200 OK\r\n" + signedHead + "Content-Length: 2\r\n\r\nok",
		"HTTP/1.0 200 OK\r\n" + signedHead + "\r\nok",
	} {
		if w, _ := serveAnswer(t, true, answer); w.Code != http.StatusOK || w.Body.String() != "ok" {
			t.Errorf("%q: status %d, body %q", answer, w.Code, w.Body)
		}
	}
}

// Guards against a status line that hides a line, or bytes that no line may hold.
func TestAnswerWithMalformedReasonIsNotPassedOn(t *testing.T) {
	const head = signedHead + "Content-Length: 2\r\n\r\nok"
	for _, reason := range []string{"O\x00K", "O\x01K", "OK\rContent-Length: 40", "OK\x7f", "\x1b[2J"} {
		t.Run(fmt.Sprintf("%q", reason), func(t *testing.T) {
			checkNoAnswer(t, true, "HTTP/1.1 200 "+reason+"\r\n"+head)
			checkNoAnswer(t, true, "HTTP/1.1 103 "+reason+"\r\n\r\nHTTP/1.1 200 OK\r\n"+head)
		})
	}
	for _, line := range []string{"HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.1 200 Tr\xe8s bien\t!"} {
		if w, _ := serveAnswer(t, true, line+"\r\n"+head); w.Code != http.StatusOK || w.Body.String() != "ok" {
			t.Errorf("%q: status %d, body %q", line, w.Code, w.Body)
		}
	}
}

// Guards against the body of an answer that may have none, taken for the next answer on its connection when it arrives late.
func TestConnOfAnswerWithBodyThatMayHaveNoneIsNotReused(t *testing.T) {
	for framing, isReused := range map[string]bool{
		"": true, "Content-Length: 0\r\n": true, "Content-Length: 2\r\n": false, "Transfer-Encoding: chunked\r\n": false,
	} {
		address := listenWithAnswers(t, false, "HTTP/1.1 204 N\r\n"+signedHead+framing+"\r\n")
		f := newTestForwarder(address)
		if w, _ := serve(f, "a"); w.Code != http.StatusNoContent {
			t.Errorf("%q: status %d, want 204", framing, w.Code)
		}
		conn, err := f.pool.Get(t.Context(), "e", address)
		if err != nil {
			t.Fatal(err)
		}
		if conn.IsReused != isReused {
			t.Errorf("%q: reused %v, want %v", framing, conn.IsReused, isReused)
		}
		conn.Close()
	}
}
