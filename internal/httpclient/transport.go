package httpclient

import (
	"net/http"
)

// Transport rejects responses that are none in HTTP, and reports an unframed response as
// truncated if its request was not written to its end.
type Transport struct {
	base         *http.Transport
	tracksWrites bool
}

// NewTransport returns a transport with the settings of another one, which has a DialContext and
// must not be used otherwise.
func NewTransport(base *http.Transport) *Transport {
	trackConns(base)
	return &Transport{base: base, tracksWrites: true}
}

// NewUntrackedTransport is NewTransport for callers that need the connections as they are and
// don't believe unframed responses.
func NewUntrackedTransport(base *http.Transport) *Transport { return &Transport{base: base} }

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var writes *requestWrites
	if t.tracksWrites && req.ContentLength > 0 {
		req, writes = trackWrites(req)
	}
	resp, err := t.base.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if reason := checkHead(resp); reason != "" {
		_ = resp.Body.Close() // closes the connection unless there is no body
		t.base.CloseIdleConnections()
		return nil, &InvalidResponseError{Peer: req.URL.Host, Reason: reason}
	}
	if writes != nil && IsUnframed(resp) {
		resp.Body = &unframedBody{resp.Body, writes}
	}
	return resp, nil
}
