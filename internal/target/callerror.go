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

// maxRejectionBytes bounds the part of an error response that is read.
const maxRejectionBytes = 64 << 10

// withoutURL drops the URL from an error of net/http: its query may hold a key.
func withoutURL(err error) error {
	var u *url.Error
	if errors.As(err, &u) {
		return u.Err
	}
	return err
}

func sendError(targetID string, proof *writeProof, err error) *CallError {
	step := StepSend
	if !proof.reached() {
		step = StepDial
	}
	notRun := proof.nothingWritten() // ends all writing, so that gateErr is final
	if proof.gateErr != nil {
		err = proof.gateErr
	}
	return &CallError{Step: step, Target: targetID, NotExecuted: notRun, Err: withoutURL(err)}
}

// rejectionBody is how a target says that it did not run a request.
type rejectionBody struct {
	Run      string `json:"run"`
	Draining bool   `json:"draining"`
	Error    struct {
		Message string `json:"message"`
	} `json:"error"`
}

// parseRejection reports what an error response says about the run. Only a whole
// body with an error status counts as the target's own statement.
func parseRejection(status int, body []byte) (notRun, draining bool, message string) {
	var r rejectionBody
	if status < http.StatusBadRequest || json.Unmarshal(body, &r) != nil {
		return false, false, ""
	}
	return r.Run == "not_run", r.Draining, r.Error.Message
}

// statusError turns an error response of an engine into a CallError.
func statusError(targetID string, response *http.Response) *CallError {
	defer response.Body.Close()
	e := &CallError{Step: StepResponse, Target: targetID, Status: response.StatusCode}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxRejectionBytes))
	message := ""
	if err == nil {
		e.NotExecuted, e.Draining, message = parseRejection(response.StatusCode, body)
	}
	e.Err = errors.Errorf("status %d: %.200s", response.StatusCode, message)
	return e
}
