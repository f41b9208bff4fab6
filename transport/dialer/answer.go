package dialer

import (
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// The statuses of a final answer. RFC 9110, section 15, has no others.
const (
	minStatus = 200
	maxStatus = 599
)

// InvalidAnswerError reports an answer whose head is not one of HTTP. Element is the wrong part of the head.
type InvalidAnswerError struct {
	Element string
	Value   string
}

func (e *InvalidAnswerError) Error() string {
	return fmt.Sprintf("dialer: unable to use the answer: its %s is %q", e.Element, e.Value)
}

// checkAnswer returns an *InvalidAnswerError if the head of an answer is invalid although http.Transport accepts it.
func checkAnswer(resp *http.Response) error {
	if resp.StatusCode < minStatus || resp.StatusCode > maxStatus {
		return &InvalidAnswerError{Element: "status", Value: resp.Status}
	}
	for name := range resp.Header {
		// http.Transport accepts blanks in names. Such a line may have been meant as the length of the answer.
		if !httpguts.ValidHeaderFieldName(name) {
			return &InvalidAnswerError{Element: "field name", Value: name}
		}
	}
	return nil
}
