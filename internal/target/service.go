package target

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
)

// requestIDHeader names the call; a response that carries it must carry the same.
const requestIDHeader = "X-Request-Id"

// RequestIDPrefix marks request ids of this router. A response with such an id of
// another request is dropped; ids of other forms are the target's own.
const RequestIDPrefix = "sr-"

// maxServiceResponse bounds a response, which is held whole before it is passed on, so
// that a caller never gets a part of it.
const maxServiceResponse = 8 << 20

// ServiceRequest is one call of a plain service, without credentials.
type ServiceRequest struct {
	// RequestID names request and attempt; it starts with RequestIDPrefix.
	RequestID string
	Method    string
	// Path is the escaped path at the target.
	Path     string
	RawQuery string
	Header   http.Header
	Trailer  http.Header
	Body     []byte
	// NoTransportRetry sends on a connection of its own, so that net/http can't repeat the call.
	NoTransportRetry bool
	// BeforeWrite is asked right before the first byte is written; its error ends the
	// call and is returned within a CallError with NotRun. nil allows every call.
	BeforeWrite func() error
}

// ServiceResponse is the whole response of a plain service.
type ServiceResponse struct {
	Status  int
	Header  http.Header
	Trailer http.Header
	Body    []byte
}

// ServiceClient calls plain services. Errors are *CallError; it never repeats a call.
type ServiceClient interface {
	Call(ctx context.Context, t *config.Target, r *ServiceRequest) (*ServiceResponse, error)
}

// HTTPServiceClient is a ServiceClient over HTTP.
type HTTPServiceClient struct {
	shared *http.Client
	once   *http.Client
}

// NewServiceClient returns a client that reuses connections for repeatable calls.
func NewServiceClient() *HTTPServiceClient { return NewWrappedServiceClient(nil) }

// NewWrappedServiceClient is NewServiceClient with a wrapper for its transports; nil
// means none.
func NewWrappedServiceClient(wrap func(http.RoundTripper) http.RoundTripper) *HTTPServiceClient {
	return &HTTPServiceClient{httpClient(wrapped(newTransport(true), wrap)), httpClient(wrapped(newTransport(false), wrap))}
}

// plainReader hides the type of a reader, from which net/http would derive a way to
// send the body again.
type plainReader struct{ io.Reader }

// Call implements ServiceClient.
func (c *HTTPServiceClient) Call(ctx context.Context, t *config.Target, r *ServiceRequest) (*ServiceResponse, error) {
	proof, ctx := newWriteProof(ctx, r.BeforeWrite)
	request, err := newServiceRequest(ctx, t, r)
	if err != nil {
		return nil, &CallError{Step: StepSend, Target: t.ID, NotExecuted: true, Err: withoutURL(err)}
	}
	client := c.shared
	if r.NoTransportRetry {
		client = c.once
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, sendError(t.ID, proof, err)
	}
	defer response.Body.Close()
	return readServiceResponse(t, r, response)
}

func newServiceRequest(ctx context.Context, t *config.Target, r *ServiceRequest) (*http.Request, error) {
	url := strings.TrimSuffix(t.URL, "/") + r.Path
	if r.RawQuery != "" {
		url += "?" + r.RawQuery
	}
	var body io.Reader
	if len(r.Body) > 0 || len(r.Trailer) > 0 {
		body = plainReader{bytes.NewReader(r.Body)}
	}
	request, err := http.NewRequestWithContext(ctx, r.Method, url, body)
	if err != nil {
		return nil, err
	}
	request.Header = r.Header.Clone()
	if request.Header == nil {
		request.Header = http.Header{}
	}
	request.Header.Set(requestIDHeader, r.RequestID)
	if _, ok := request.Header["User-Agent"]; !ok {
		request.Header["User-Agent"] = nil // net/http would add its own
	}
	request.ContentLength = int64(len(r.Body))
	if len(r.Trailer) > 0 {
		request.ContentLength = -1 // trailers need chunks
		request.Trailer = r.Trailer
	}
	return request, nil
}

func readServiceResponse(t *config.Target, r *ServiceRequest, response *http.Response) (*ServiceResponse, error) {
	fail := func(err error) (*ServiceResponse, error) {
		return nil, &CallError{Step: StepResponse, Target: t.ID, Status: response.StatusCode, Err: withoutURL(err)}
	}
	if id := response.Header.Get(requestIDHeader); strings.HasPrefix(id, RequestIDPrefix) && id != r.RequestID {
		return fail(errors.New("the response belongs to another request"))
	}
	if !hasKnownLength(r.Method, response) {
		return fail(errors.New("the response has no length, so that its end can't be told from a failure"))
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxServiceResponse+1))
	if err != nil {
		return fail(errors.Wrap(err, "read the response"))
	}
	if len(body) > maxServiceResponse {
		return fail(errors.Errorf("the response is longer than %d bytes", maxServiceResponse))
	}
	if notRun, draining, message := parseRejection(response.StatusCode, body); notRun {
		return nil, &CallError{
			Step: StepResponse, Target: t.ID, Status: response.StatusCode, NotExecuted: true, Draining: draining,
			Err: errors.Errorf("the target did not run the request: %.200s", message),
		}
	}
	return &ServiceResponse{
		Status: response.StatusCode, Header: CleanResponseHeader(response.Header), Trailer: response.Trailer, Body: body,
	}, nil
}

// hasKnownLength reports whether a cut of the connection would be noticed.
func hasKnownLength(method string, response *http.Response) bool {
	if method == http.MethodHead || response.StatusCode == http.StatusNoContent || response.StatusCode == http.StatusNotModified {
		return true
	}
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}
