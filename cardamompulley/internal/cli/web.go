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
	webTimeout  = 30 * timekeeper.Second
	maxWebBytes = 64 << 20
)

// fetchJSON reads a page into target.
func fetchJSON(url string, target any) error {
	client := &http.Client{Timeout: webTimeout.Duration()}
	response, err := client.Get(url)
	if err != nil {
		return fmt.Errorf("cardamompulley: %w", err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxWebBytes))
	if err != nil {
		return fmt.Errorf("cardamompulley: %s: %w", url, err)
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: %s: status %d: %s", errAnswer, url, response.StatusCode, bytes.TrimSpace(body))
	}
	if err := json.Unmarshal(body, target); err != nil {
		return fmt.Errorf("%w: %s: %w", errAnswer, url, err)
	}

	return nil
}
