package forwarder

import (
	"errors"
	"io"
	"net/http"
	"time"

	"cardamompulley/fleet/model"
)

// readBody reads the request body, within the request's deadline and the configured size limit.
func (p *proxiedRequest) readBody() *model.Refusal {
	if p.request.ContentLength == 0 {
		return nil
	}
	controller := http.NewResponseController(p.writer)
	_ = controller.SetReadDeadline(time.Now().Add(p.timeLeft().Duration()))
	maxBytes := p.view.Configuration.Limits.MaxBodyBytes
	if maxBytes <= 0 {
		maxBytes = defaultMaxBodyBytes
	}
	if p.request.ContentLength > maxBytes {
		return model.NewRefusal(model.CodeBodyTooLarge, "the body is over the limit")
	}
	body, err := p.readBodyBytes(http.MaxBytesReader(p.writer, p.request.Body, maxBytes))
	p.body = body
	if err == nil {
		_ = controller.SetReadDeadline(time.Time{})

		return nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return model.NewRefusal(model.CodeBodyTooLarge, "the body is over the limit")
	}
	if p.timeLeft() <= 0 {
		return model.NewRefusal(model.CodeRequestTimeout, "the body did not arrive in time").WithRetryAfter(earlyRefusalRetryAfter)
	}

	return model.NewRefusal(model.CodeBadRequest, "the body cannot be read: "+err.Error())
}

// readBodyBytes reads the body into a buffer of its declared length, if it has one.
func (p *proxiedRequest) readBodyBytes(r io.Reader) ([]byte, error) {
	if p.request.ContentLength < 0 {
		return io.ReadAll(r)
	}
	body := make([]byte, p.request.ContentLength)
	_, err := io.ReadFull(r, body)
	if err != nil {
		return nil, err
	}
	// net/http detects that a caller has disconnected only once the body has been read to its end.
	if _, err := r.Read(make([]byte, 1)); err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}

	return body, nil
}
