package connector

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"cardamompulley/fleet/checker"
)

// Starts of answers of HTTP/1.0 and HTTP/1.1.
const (
	earlierVersion = "HTTP/1.0 "
	currentVersion = "HTTP/1.1 "
)

// isEarlierVersion reports whether the next answer is one of HTTP/1.0. It waits for no more of it than tells.
func (c *Conn) isEarlierVersion() (bool, error) {
	for i := range len(earlierVersion) {
		start, err := c.reader.Peek(i + 1)
		if errors.Is(err, io.EOF) {
			return false, io.ErrUnexpectedEOF
		}
		if err != nil {
			return false, err
		}
		if start[i] != earlierVersion[i] {
			return false, nil
		}
	}

	return true, nil
}

// readEarlierVersion reads the head of an answer of HTTP/1.0, which knows neither interim answers nor transfer codings. net/http takes the marks
// of chunks for the body of such an answer; it tells them if the answer claims to be of HTTP/1.1. The connection carries no other request.
func (c *Conn) readEarlierVersion(r *http.Request) (*http.Response, error) {
	_, _ = c.reader.Discard(len(earlierVersion))
	response, err := http.ReadResponse(bufio.NewReader(io.MultiReader(strings.NewReader(currentVersion), c.reader)), r)
	if err != nil {
		return nil, err
	}
	if response.StatusCode < http.StatusOK || len(response.TransferEncoding) > 0 {
		return nil, fmt.Errorf("%w: status %d of HTTP/1.0, transfer codings %q", checker.ErrMalformed, response.StatusCode, response.TransferEncoding)
	}
	response.Proto, response.ProtoMinor = strings.TrimSpace(earlierVersion), 0
	response.Close = true

	return response, nil
}
