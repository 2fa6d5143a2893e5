package httpclient

import (
	"net/http"
)

// Transport rejects responses that are none in HTTP, and reports an unframed response as
// truncated if its request was not written to its end.
type Transport struct{ base *http.Transport }

// NewTransport returns a transport that uses the connections of another one.
func NewTransport(base *http.Transport) *Transport {
	return &Transport{base: base}
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.base.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if reason := checkHead(resp); reason != "" {
		_ = resp.Body.Close() // closes the connection unless there is no body
		t.base.CloseIdleConnections()
		return nil, &InvalidResponseError{Peer: req.URL.Host, Reason: reason}
	}
	return resp, nil
}
