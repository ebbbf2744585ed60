package checker

import (
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

const (
	// statusLimit is the number beyond the statuses.
	statusLimit = 600
	// majorVersion is the major version of HTTP that endpoints speak.
	majorVersion = 1
)

// ErrMalformed means that an endpoint has sent something else than an answer.
var ErrMalformed = errors.New("checker: what was sent is no answer")

// CheckHead checks the head of an answer or of an interim answer over HTTP/1. Errors match ErrMalformed.
func CheckHead(response *http.Response) error {
	if response.ProtoMajor != majorVersion {
		return fmt.Errorf("%w: HTTP version %d.%d", ErrMalformed, response.ProtoMajor, response.ProtoMinor)
	}
	if !isStatus(response.StatusCode) {
		return fmt.Errorf("%w: status %d", ErrMalformed, response.StatusCode)
	}
	if !httpguts.ValidHeaderFieldValue(response.Status) {
		return fmt.Errorf("%w: the status line holds other bytes than a line may", ErrMalformed)
	}

	return CheckFields(response.Header)
}

// CheckFields checks the names of the fields of a head. net/http leaves those in that hold a blank, and reads the answer as if they were not
// there. Errors match ErrMalformed.
func CheckFields(h http.Header) error {
	for name, values := range h {
		if len(values) > 0 && !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: the name of a field holds other bytes than a name may", ErrMalformed)
		}
	}

	return nil
}

// isStatus reports whether a number is the status of an answer or of an interim answer. Requests ask for no other protocol, so that none can
// follow on their connections.
func isStatus(status int) bool {
	return status >= http.StatusContinue && status < statusLimit && status != http.StatusSwitchingProtocols
}
