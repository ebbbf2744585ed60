package checker

import (
	"errors"
	"fmt"
	"net/http"
)

// statusLimit is the number beyond the statuses.
const statusLimit = 600

// ErrMalformed means that an endpoint has sent something else than an answer.
var ErrMalformed = errors.New("checker: what was sent is no answer")

// CheckHead checks the head of an answer or of an interim answer. Errors match ErrMalformed.
func CheckHead(response *http.Response) error {
	if !isStatus(response.StatusCode) {
		return fmt.Errorf("%w: status %d", ErrMalformed, response.StatusCode)
	}

	return nil
}

// isStatus reports whether a number is the status of an answer or of an interim answer. Requests ask for no other protocol, so that none can
// follow on their connections.
func isStatus(status int) bool {
	return status >= http.StatusContinue && status < statusLimit && status != http.StatusSwitchingProtocols
}
