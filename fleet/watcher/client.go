package watcher

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"cardamompulley/fleet/checker"
	"cardamompulley/fleet/configurator"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// Errors returned by a Client; test for them with errors.Is.
var (
	ErrUnavailable = errors.New("watcher: platform service unavailable")
	ErrTooLarge    = errors.New("watcher: value too large")
)

const (
	requestTimeout = 2 * timekeeper.Second
	// WatchTimeout is how long one Watch call waits for a higher version.
	WatchTimeout = 20 * timekeeper.Second

	maxVMListBytes = 8 << 20
)

// Client reads the configuration service and the VM list; it never writes. VMs must not be called concurrently with itself.
type Client struct {
	configurationURL string
	vmListURL        string
	http             *http.Client
	vmListETag       string
	cachedVMs        []model.VM
}

// NewClient returns a client for the configuration service and the VM list at the given base URLs.
func NewClient(configurationURL, vmListURL string, transport http.RoundTripper) *Client {
	return &Client{configurationURL: configurationURL, vmListURL: vmListURL, http: &http.Client{Transport: transport}}
}

// Manifest returns the newest manifest, or nil if the service has none. It returns ErrUnavailable or ErrTooLarge.
func (c *Client) Manifest(ctx context.Context) ([]byte, error) {
	return c.get(ctx, c.configurationURL+"/v1/config/manifest", requestTimeout)
}

// Watch waits for a manifest with a higher version than the given one. It returns nil if there is none within WatchTimeout,
// and ErrUnavailable or ErrTooLarge on failure.
func (c *Client) Watch(ctx context.Context, above model.Version) ([]byte, error) {
	url := c.configurationURL + "/v1/config/manifest?wait-above=" + strconv.FormatUint(uint64(above), 10) +
		"&timeout-ms=" + strconv.FormatInt(int64(WatchTimeout), 10)

	return c.get(ctx, url, WatchTimeout+requestTimeout)
}

// Values returns the values with the given hashes, keyed by hash. It returns ErrUnavailable or ErrTooLarge.
func (c *Client) Values(ctx context.Context, hashes []string) (map[string][]byte, error) {
	values := make(map[string][]byte, len(hashes))
	for _, h := range hashes {
		value, err := c.get(ctx, c.configurationURL+"/v1/config/values/"+h, requestTimeout)
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
	response, err := c.do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNoContent {
		return nil, nil
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w: status %d", ErrUnavailable, response.StatusCode)
	}

	return readLimited(response.Body, configurator.MaxValueBytes)
}

// do sends a request and returns its response, whose body must be closed. Errors match ErrUnavailable.
func (c *Client) do(request *http.Request) (*http.Response, error) {
	response, err := c.http.Do(request)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if err := checker.CheckHead(response); err != nil {
		_ = response.Body.Close()

		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	response.Body = checker.NewBody(response)

	return response, nil
}

func readLimited(r io.Reader, limit int) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if len(body) > limit {
		return nil, ErrTooLarge
	}

	return body, nil
}

// VMs returns the VM list, or ErrUnavailable or ErrTooLarge. It sends the ETag of the last list, so an unchanged list is not
// transferred again.
func (c *Client) VMs(ctx context.Context) ([]model.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout.Duration())
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.vmListURL+"/v1/vms", nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if c.vmListETag != "" {
		request.Header.Set("If-None-Match", c.vmListETag)
	}
	response, err := c.do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotModified && c.vmListETag != "" {
		return c.cachedVMs, nil
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w: status %d", ErrUnavailable, response.StatusCode)
	}
	body, err := readLimited(response.Body, maxVMListBytes)
	if err != nil {
		return nil, err
	}
	var vms []model.VM
	if err := json.Unmarshal(body, &vms); err != nil {
		return nil, fmt.Errorf("%w: VM list: %w", ErrUnavailable, err)
	}
	if vms == nil {
		return nil, fmt.Errorf("%w: VM list: null", ErrUnavailable)
	}
	c.cachedVMs = vms
	c.vmListETag = response.Header.Get("ETag")

	return vms, nil
}
