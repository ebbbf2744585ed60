package launcher

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
)

// ErrStandInRequest means that a stand-in answered a control request with a status other than 200.
var ErrStandInRequest = errors.New("launcher: stand-in refused the request")

// callStandIn sends a control request to a stand-in.
func callStandIn(method string, p *Process, path string, body []byte) error {
	r, err := http.NewRequest(method, "http://"+p.Address("standin")+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("launcher: create control request: %w", err)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return fmt.Errorf("launcher: %s: %w", p.Name, err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: %s: status %d", ErrStandInRequest, p.Name, response.StatusCode)
	}

	return nil
}
