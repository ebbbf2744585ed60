package forwarder

import (
	"errors"
	"io"
	"net/http"
	"time"

	"cardamompulley/fleet/model"
)

func (j *job) readBody() *model.Refusal {
	if j.r.ContentLength == 0 {
		return nil
	}
	control := http.NewResponseController(j.w)
	_ = control.SetReadDeadline(time.Now().Add(j.left().Duration()))
	most := j.view.Configuration.Limits.MaxBodyBytes
	if most <= 0 {
		most = defaultBody
	}
	if j.r.ContentLength > most {
		return model.NewRefusal(model.CodeBodyTooLarge, "the body is over the limit")
	}
	body, err := j.readAll(http.MaxBytesReader(j.w, j.r.Body, most))
	j.body = body
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})

		return nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return model.NewRefusal(model.CodeBodyTooLarge, "the body is over the limit")
	}
	if j.left() <= 0 {
		return model.NewRefusal(model.CodeRequestTimeout, "the body did not arrive in time").WithRetryAfter(startWait)
	}

	return model.NewRefusal(model.CodeBadRequest, "the body cannot be read: "+err.Error())
}

func (j *job) readAll(r io.Reader) ([]byte, error) {
	if j.r.ContentLength < 0 {
		return io.ReadAll(r)
	}
	body := make([]byte, j.r.ContentLength)
	_, err := io.ReadFull(r, body)
	if err != nil {
		return nil, err
	}
	// The server notices a caller that leaves only after it has seen the end of the body.
	if _, err := r.Read(make([]byte, 1)); err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}

	return body, nil
}
