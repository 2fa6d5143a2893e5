// Package httpclient checks the responses of targets and of the store before anything reads
// them. net/http accepts more than is a response in HTTP: what its writer, or the next
// recipient, would take in another way must not be passed on or believed.
package httpclient

import (
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// The statuses of a final response (RFC 9110, section 15). 101 is none, since no request asks
// for another protocol.
const (
	minStatus = 200
	maxStatus = 599
)

// InvalidResponseError is the error of a call that was answered with bytes that are no
// response. The request may have been executed.
type InvalidResponseError struct {
	// Peer is the address of the server.
	Peer   string
	Reason string
}

func (e *InvalidResponseError) Error() string {
	return fmt.Sprintf("invalid response of %s: %s", e.Peer, e.Reason)
}

// checkHead returns what makes a head invalid, or "". net/http has checked the values of its
// fields, and the bytes of their names but for blanks.
func checkHead(resp *http.Response) string {
	if resp.ProtoMajor != 1 {
		return fmt.Sprintf("the protocol is %.20q", resp.Proto)
	}
	if resp.StatusCode < minStatus || resp.StatusCode > maxStatus {
		return fmt.Sprintf("the status is %.20q", resp.Status)
	}
	for name := range resp.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Sprintf("a field has the name %.40q", name)
		}
	}
	return ""
}
