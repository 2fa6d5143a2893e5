package orders

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/internal/httpclient"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
)

const (
	maxResponseBytes       = 64 << 10
	maxResponseHeaderBytes = 64 << 10
	dialTimeout            = 2 * time.Second
	idleTimeout            = 30 * time.Second
	maxIdleConnsPerTarget  = 1
	maxIdleConns           = 64
)

func newTransport() http.RoundTripper {
	return httpclient.NewTransport(&http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConns:           maxIdleConns,
		MaxIdleConnsPerHost:    maxIdleConnsPerTarget,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		IdleConnTimeout:        idleTimeout,
	})
}

func newHTTPClient(transport http.RoundTripper) *http.Client {
	return &http.Client{
		Transport: transport,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// orderRequest is the body of POST /v1/orders.
type orderRequest struct {
	FencingToken   uint64 `json:"fencing_number"`
	Kind           Kind   `json:"kind"`
	Model          string `json:"model,omitempty"`
	WeightsVersion string `json:"weights_version,omitempty"`
	Adapter        string `json:"adapter,omitempty"`
	Role           string `json:"role,omitempty"`
}

// send sends the order once. A failure to connect is ErrUnreachable; any other failure
// without a complete response, and any 5xx status, is ErrNoResponse.
func (s *Service) send(ctx context.Context, t *config.Target, o Order, fencingToken uint64) (Result, error) {
	body, err := json.Marshal(orderRequest{fencingToken, o.Kind, o.Model, o.WeightsVersion, o.Adapter, o.Role})
	if err != nil {
		return Result{}, errors.WithMessage(ErrRejected, err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, s.options.OrderTimeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost,
		strings.TrimSuffix(t.URL, "/")+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return Result{}, errors.WithMessage(ErrRejected, err.Error())
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := s.client.Do(request)
	if err != nil && !connected.Load() {
		return Result{}, errors.WithMessage(ErrUnreachable, err.Error())
	}
	if err != nil {
		return Result{}, errors.WithMessage(ErrNoResponse, err.Error())
	}
	defer func() { _ = response.Body.Close() }()
	responseBody, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return Result{}, errors.WithMessage(ErrNoResponse, err.Error())
	}
	if len(responseBody) > maxResponseBytes {
		responseBody = responseBody[:maxResponseBytes]
	}
	return Result{FencingToken: fencingToken, Body: responseBody}, statusError(response.StatusCode)
}

// statusError maps a response status to an error. Engines reject a stale fencing token
// with 409 or 412.
func statusError(status int) error {
	switch {
	case status >= 200 && status < 300:
		return nil
	case status == http.StatusConflict, status == http.StatusPreconditionFailed:
		return errors.WithMessagef(ErrStaleFencingToken, "status %d", status)
	case status >= http.StatusInternalServerError:
		return errors.WithMessagef(ErrNoResponse, "status %d", status)
	}
	return errors.WithMessagef(ErrRejected, "status %d", status)
}
