package checker

import (
	"errors"
	"io"
	"net/http"
)

// body is the body of an answer.
type body struct {
	io.ReadCloser
	response *http.Response
}

// NewBody returns the body of an answer. Where the head that follows a chunked body is malformed, reading it ends with an error that matches
// ErrMalformed in place of io.EOF.
func NewBody(response *http.Response) io.ReadCloser {
	return &body{ReadCloser: response.Body, response: response}
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if malformed := CheckFields(b.response.Trailer); malformed != nil {
		err = malformed
	}

	return n, err
}
