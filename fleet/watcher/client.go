package watcher

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"cardamompulley/fleet/configurator"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// Errors that callers test with errors.Is.
var (
	ErrUnavailable = errors.New("watcher: platform service unavailable")
	ErrTooLarge    = errors.New("watcher: value too large")
)

const (
	requestTimeout = 2 * timekeeper.Second
	// WatchTimeout is how long one watch waits for a higher version.
	WatchTimeout = 20 * timekeeper.Second

	maxVMListBytes = 8 << 20
)

// Client reads the platform's services; it never writes.
type Client struct {
	configuration string
	vms           string
	http          *http.Client
	vmsTag        string
	vmsLast       []model.VM
}

// NewClient returns a client for the URLs of the configuration service and the VM list.
func NewClient(configuration, vms string, transport http.RoundTripper) *Client {
	return &Client{configuration: configuration, vms: vms, http: &http.Client{Transport: transport}}
}

// Manifest returns the newest manifest that the service shows, or ErrUnavailable.
func (c *Client) Manifest(ctx context.Context) ([]byte, error) {
	return c.get(ctx, c.configuration+"/v1/config/manifest", requestTimeout)
}

// Watch waits until the service shows a manifest above a version, and returns nil when none came in time.
func (c *Client) Watch(ctx context.Context, above model.Version) ([]byte, error) {
	url := c.configuration + "/v1/config/manifest?wait-above=" + strconv.FormatUint(uint64(above), 10) +
		"&timeout-ms=" + strconv.FormatInt(int64(WatchTimeout), 10)

	return c.get(ctx, url, WatchTimeout+requestTimeout)
}

// Values returns the values with the given hashes, or ErrUnavailable.
func (c *Client) Values(ctx context.Context, hashes []string) (map[string][]byte, error) {
	values := make(map[string][]byte, len(hashes))
	for _, h := range hashes {
		value, err := c.get(ctx, c.configuration+"/v1/config/values/"+h, requestTimeout)
		if err != nil {
			return nil, err
		}
		values[h] = value
	}

	return values, nil
}

func (c *Client) get(ctx context.Context, url string, timeout timekeeper.Millis) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNoContent {
		return nil, nil
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w: status %d", ErrUnavailable, response.StatusCode)
	}

	return readBounded(response.Body, configurator.MaxValueBytes)
}

func readBounded(r io.Reader, most int) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, int64(most)+1))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if len(body) > most {
		return nil, ErrTooLarge
	}

	return body, nil
}

// VMs returns the VM list; an unchanged list costs one short call.
func (c *Client) VMs(ctx context.Context) ([]model.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout.Duration())
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.vms+"/v1/vms", nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if c.vmsTag != "" {
		request.Header.Set("If-None-Match", c.vmsTag)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotModified {
		return c.vmsLast, nil
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w: status %d", ErrUnavailable, response.StatusCode)
	}
	body, err := readBounded(response.Body, maxVMListBytes)
	if err != nil {
		return nil, err
	}
	var vms []model.VM
	if err := json.Unmarshal(body, &vms); err != nil {
		return nil, fmt.Errorf("%w: VM list: %w", ErrUnavailable, err)
	}
	c.vmsLast = vms
	c.vmsTag = response.Header.Get("ETag")

	return vms, nil
}
