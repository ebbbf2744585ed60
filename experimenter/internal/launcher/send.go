package launcher

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Send sends a JSON body and returns the text of a successful answer.
func Send(method, url string, body any) (string, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return "", fmt.Errorf("launcher: %s: %w", url, err)
	}
	request, err := http.NewRequest(method, url, bytes.NewReader(raw))
	if err != nil {
		return "", fmt.Errorf("launcher: %s: %w", url, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", fmt.Errorf("launcher: %s: %w", url, err)
	}
	text, err := textOf(url, response)
	if err != nil {
		return "", err
	}
	if response.StatusCode >= http.StatusBadRequest {
		return "", fmt.Errorf("launcher: %s: status %d: %s", url, response.StatusCode, text)
	}

	return text, nil
}

// Fetch returns the text of a page.
func Fetch(url string) (string, error) {
	response, err := http.Get(url)
	if err != nil {
		return "", fmt.Errorf("launcher: %s: %w", url, err)
	}

	return textOf(url, response)
}

func textOf(url string, response *http.Response) (string, error) {
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return "", fmt.Errorf("launcher: %s: %w", url, err)
	}

	return string(text), nil
}

// Await polls a condition until it holds or the wait is over.
func Await(condition func() bool) error {
	deadline := time.Now().Add(readyTimeout.Duration())
	for !condition() {
		if time.Now().After(deadline) {
			return ErrNotReady
		}
		time.Sleep(readyPoll.Duration())
	}

	return nil
}

func isReady(p *Process) bool {
	response, err := http.Get("http://" + p.Address("operator") + "/readyz")
	if err != nil {
		return false
	}
	defer response.Body.Close()

	return response.StatusCode == http.StatusOK
}
