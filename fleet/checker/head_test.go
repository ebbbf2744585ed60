package checker

import (
	"errors"
	"net/http"
	"testing"
)

func TestCheckHeadTellsStatuses(t *testing.T) {
	for status, isAnswer := range map[int]bool{
		-1: false, 0: false, 1: false, 99: false, 100: true, 101: false, 103: true, 199: true, 200: true, 299: true, 404: true, 599: true,
		600: false, 999: false,
	} {
		err := CheckHead(&http.Response{StatusCode: status})
		if errors.Is(err, ErrMalformed) == isAnswer {
			t.Errorf("%d: %v, want an answer: %v", status, err, isAnswer)
		}
	}
}
