package forwarder

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// callerTimeoutMillis is how long callers of these tests wait.
const callerTimeoutMillis = "2000"

// serveAnswer sends a request to an endpoint that gives an answer, and returns the response.
func serveAnswer(t *testing.T, method, answer string) (w *httptest.ResponseRecorder, isWhole bool) {
	t.Helper()
	w = httptest.NewRecorder()
	r := httptest.NewRequest(method, "http://a/", nil)
	r.Header.Set("Cardamompulley-Attempt-Id", "a")
	r.Header.Set("Cardamompulley-Deadline-Ms", callerTimeoutMillis)
	defer func() {
		if recover() != nil {
			isWhole = false
		}
	}()
	newTestForwarder(listenWithAnswers(t, false, answer)).ServeHTTP(w, r)

	return w, true
}

// checkNoAnswer checks that what an endpoint sends is not passed on: that the caller gets a failure of the gateway, before its time is up.
func checkNoAnswer(t *testing.T, answer string) {
	t.Helper()
	w, isWhole := serveAnswer(t, http.MethodGet, answer)
	if w.Code != http.StatusBadGateway || !isWhole {
		t.Errorf("status %d, head %v, body %q, want 502", w.Code, w.Header(), w.Body)
	}
}

// Guards against an answer whose status is none, taken for an interim answer or passed on.
func TestAnswerWithStatusThatIsNoneIsNotPassedOn(t *testing.T) {
	const head = signedHead + "Content-Length: 2\r\n\r\n"
	for _, status := range []string{"000", "001", "042", "099", "+20", "-00", "600", "700", "999", "101"} {
		t.Run(status, func(t *testing.T) {
			checkNoAnswer(t, "HTTP/1.1 "+status+" X\r\n"+head+"ok")
		})
		t.Run(status+" before what looks like an answer", func(t *testing.T) {
			checkNoAnswer(t, "HTTP/1.1 "+status+" X\r\n\r\nHTTP/1.1 200 OK\r\n"+signedHead+"Content-Length: 8\r\n\r\nsmuggled")
		})
		t.Run(status+" after an interim answer", func(t *testing.T) {
			checkNoAnswer(t, "HTTP/1.1 103 E\r\nLink: x\r\n\r\nHTTP/1.1 "+status+" X\r\n"+head+"ok")
		})
	}
}

// Interim answers of any number are none of the answer.
func TestAnswerAfterInterimAnswersIsPassedOn(t *testing.T) {
	for _, status := range []string{"100", "102", "103", "199"} {
		interim := strings.Repeat("HTTP/1.1 "+status+" I\r\nLink: x\r\n\r\n", 3)
		w, _ := serveAnswer(t, http.MethodGet, interim+testResponse)
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
