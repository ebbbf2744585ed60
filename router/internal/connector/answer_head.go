package connector

import (
	"errors"
	"fmt"
	"net/http"

	"cardamompulley/fleet/checker"
)

const (
	// maxHeadBytes bounds the head of an answer, together with the interim answers before it.
	maxHeadBytes = 64 << 10
	// maxErrorBytes bounds the text of an error that quotes an answer.
	maxErrorBytes = 256
)

// ErrHeadTooLong means that the head of an answer, or the interim answers before it, do not end.
var ErrHeadTooLong = errors.New("connector: the head of the answer is too long")

// readResponseHead reads the head of the response to a request, and the interim answers before it.
func (c *Conn) readResponseHead(method string) (*http.Response, error) {
	c.bounded.bound(maxHeadBytes)
	defer c.bounded.unbound()
	for {
		response, err := c.readHead(&http.Request{Method: method})
		if err != nil {
			return nil, fmt.Errorf("connector: answer of %s: %w", c.endpoint, c.headError(err))
		}
		if err := checker.CheckHead(response); err != nil {
			return nil, fmt.Errorf("connector: answer of %s: %w", c.endpoint, err)
		}
		if response.StatusCode >= http.StatusOK {
			c.updateIdleTimeout(response.Header)
			response.Body = checker.NewBody(response)

			return response, nil
		}
		_ = response.Body.Close()
	}
}

// readHead reads the head of one answer, which may be an interim one.
func (c *Conn) readHead(r *http.Request) (*http.Response, error) {
	isEarlier, err := c.isEarlierVersion()
	if err != nil {
		return nil, err
	}
	if isEarlier {
		return c.readEarlierVersion(r)
	}

	return http.ReadResponse(c.reader, r)
}

// headError returns why a head cannot be read, without a long text that the endpoint has sent in place of one.
func (c *Conn) headError(err error) error {
	switch {
	case c.bounded.isExhausted():
		return ErrHeadTooLong
	case len(err.Error()) > maxErrorBytes:
		return checker.ErrMalformed
	default:
		return err
	}
}
