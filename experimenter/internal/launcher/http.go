package launcher

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// SendJSON sends body as JSON and returns the response body. It returns an error if the status is 400 or above.
func SendJSON(method, url string, body any) (string, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return "", fmt.Errorf("launcher: encode body for %s: %w", url, err)
	}
	request, err := http.NewRequest(method, url, bytes.NewReader(raw))
	if err != nil {
		return "", fmt.Errorf("launcher: %s: %w", url, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", fmt.Errorf("launcher: %s: %w", url, err)
	}
	text, err := readText(url, response)
	if err != nil {
		return "", err
	}
	if response.StatusCode >= http.StatusBadRequest {
		return "", fmt.Errorf("launcher: %s: status %d: %s", url, response.StatusCode, text)
	}

	return text, nil
}

// Fetch returns the response body of a GET request, whatever its status.
func Fetch(url string) (string, error) {
	response, err := http.Get(url)
	if err != nil {
		return "", fmt.Errorf("launcher: %s: %w", url, err)
	}

	return readText(url, response)
}

func readText(url string, response *http.Response) (string, error) {
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return "", fmt.Errorf("launcher: read response of %s: %w", url, err)
	}

	return string(text), nil
}

// Poll checks a condition until it holds. It returns ErrNotReady if the condition does not hold within pollTimeout.
func Poll(condition func() bool) error {
	deadline := time.Now().Add(pollTimeout.Duration())
	for !condition() {
		if time.Now().After(deadline) {
			return ErrNotReady
		}
		time.Sleep(pollInterval.Duration())
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
