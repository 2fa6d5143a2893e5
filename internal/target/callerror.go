package target

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"github.com/pkg/errors"
)

// Steps of a call.
const (
	StepDial     = "dial"
	StepSend     = "send"
	StepResponse = "response"
	StepStream   = "stream"
)

// maxRejectionBytes bounds how much of an error response is read.
const maxRejectionBytes = 64 << 10

// stripURL removes the URL from an error of net/http, because its query may hold a key.
func stripURL(err error) error {
	var u *url.Error
	if errors.As(err, &u) {
		return u.Err
	}
	return err
}

func newSendError(targetID string, tracker *writeTracker, err error) *CallError {
	step := StepSend
	if !tracker.gotConnection() {
		step = StepDial
	}
	notExecuted := tracker.seal() // stops all writes, so that beforeWriteErr is final
	if tracker.beforeWriteErr != nil {
		err = tracker.beforeWriteErr
	}
	return &CallError{Step: step, Target: targetID, NotExecuted: notExecuted, Err: stripURL(err)}
}

// rejectionBody is the error response of a target that did not execute a request.
type rejectionBody struct {
	Run      string `json:"run"`
	Draining bool   `json:"draining"`
	Error    struct {
		Message string `json:"message"`
	} `json:"error"`
}

// parseRejection reports what an error response says about the execution of the
// request. Only a whole body with an error status counts as the target's own statement.
func parseRejection(status int, body []byte) (notExecuted, draining bool, message string) {
	var r rejectionBody
	if status < http.StatusBadRequest || json.Unmarshal(body, &r) != nil {
		return false, false, ""
	}
	return r.Run == "not_run", r.Draining, r.Error.Message
}

// newStatusError converts an error response of an engine to a CallError.
func newStatusError(targetID string, response *http.Response) *CallError {
	defer response.Body.Close()
	callErr := &CallError{Step: StepResponse, Target: targetID, Status: response.StatusCode}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxRejectionBytes))
	message := ""
	if err == nil {
		callErr.NotExecuted, callErr.Draining, message = parseRejection(response.StatusCode, body)
	}
	callErr.Err = errors.Errorf("status %d: %.200s", response.StatusCode, message)
	return callErr
}
