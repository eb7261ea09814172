package outcome

import (
	"fmt"
	"net/http"
)

// PromisesNotExecuted reports whether a response with this status tells the client that its request was not executed and never will
// be, so that it may be sent again whatever it is.
func PromisesNotExecuted(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// MayReturn reports whether a response with this status may be returned to the client of a request: whether its promise is true, if
// it makes one.
func MayReturn(status int, mayHaveExecuted bool) bool {
	return !mayHaveExecuted || !PromisesNotExecuted(status)
}

// FailedByServer returns the problem in place of a response of a backend server that MayReturn rejects.
func FailedByServer(status int) *Problem {
	detail := fmt.Sprintf("the backend server answered %d without stating that it did not execute the request; "+
		"find out whether it ran before sending it again", status)
	return New(KindFailed, http.StatusBadGateway, Unknown, detail)
}
