package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"cardamompulley/fleet/timekeeper"
)

const (
	fetchTimeout     = 30 * timekeeper.Second
	maxResponseBytes = 64 << 20
)

// fetchJSON sends a GET request and decodes the JSON response into target. It returns errUnexpectedResponse for another
// status than 200 and for a body that cannot be decoded.
func fetchJSON(url string, target any) error {
	client := &http.Client{Timeout: fetchTimeout.Duration()}
	response, err := client.Get(url)
	if err != nil {
		return fmt.Errorf("cardamompulley: %w", err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("cardamompulley: %s: %w", url, err)
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: %s: status %d: %s", errUnexpectedResponse, url, response.StatusCode, bytes.TrimSpace(body))
	}
	if err := json.Unmarshal(body, target); err != nil {
		return fmt.Errorf("%w: %s: %w", errUnexpectedResponse, url, err)
	}

	return nil
}
