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

// requestIDHeader identifies a call; see RequestIDPrefix for its use in responses.
const requestIDHeader = "X-Request-Id"

// RequestIDPrefix marks request ids of this router. A response with such an id of
// another request is rejected; ids in other formats are the target's own.
const RequestIDPrefix = "sr-"

// maxServiceResponseBytes bounds a response, which is buffered as a whole before it is
// passed on, so that a caller never receives a part of it.
const maxServiceResponseBytes = 8 << 20

// ServiceRequest is one call of a plain service, without credentials.
type ServiceRequest struct {
	// RequestID identifies the request and attempt; it starts with RequestIDPrefix.
	RequestID string
	Method    string
	// Path is the escaped path at the target.
	Path     string
	RawQuery string
	Header   http.Header
	Trailer  http.Header
	Body     []byte
	// NoTransportRetry sends the call on a connection of its own, so that net/http
	// can't repeat it.
	NoTransportRetry bool
	// BeforeWrite is called right before the first byte is written. Its error ends the
	// call and is returned within a CallError with NotExecuted. Nil allows every call.
	BeforeWrite func() error
}

// ServiceResponse is the whole response of a plain service.
type ServiceResponse struct {
	Status  int
	Header  http.Header
	Trailer http.Header
	Body    []byte
}

// ServiceClient calls plain services. Errors are *CallError. It never repeats a call.
type ServiceClient interface {
	Call(ctx context.Context, t *config.Target, r *ServiceRequest) (*ServiceResponse, error)
}

// HTTPServiceClient is a ServiceClient over HTTP.
type HTTPServiceClient struct {
	pooled    *http.Client
	singleUse *http.Client
}

// NewServiceClient returns a client that reuses connections unless NoTransportRetry is
// set.
func NewServiceClient() *HTTPServiceClient { return NewWrappedServiceClient(nil) }

// NewWrappedServiceClient is NewServiceClient with a wrapper for its transports; nil
// means none.
func NewWrappedServiceClient(wrap func(http.RoundTripper) http.RoundTripper) *HTTPServiceClient {
	return &HTTPServiceClient{newHTTPClient(wrapTransport(newTransport(true), wrap)), newHTTPClient(wrapTransport(newTransport(false), wrap))}
}

// plainReader hides the type of a reader, from which net/http would derive GetBody and
// could send the body again.
type plainReader struct{ io.Reader }

// Call implements ServiceClient.
func (c *HTTPServiceClient) Call(ctx context.Context, t *config.Target, r *ServiceRequest) (*ServiceResponse, error) {
	tracker, ctx := newWriteTracker(ctx, r.BeforeWrite)
	request, err := newServiceRequest(ctx, t, r)
	if err != nil {
		return nil, &CallError{Step: StepSend, Target: t.ID, NotExecuted: true, Err: stripURL(err)}
	}
	client := c.pooled
	if r.NoTransportRetry {
		client = c.singleUse
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, newSendError(t.ID, tracker, err)
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
		request.ContentLength = -1 // trailers require chunked encoding
		request.Trailer = r.Trailer
	}
	return request, nil
}

func readServiceResponse(t *config.Target, r *ServiceRequest, response *http.Response) (*ServiceResponse, error) {
	fail := func(err error) (*ServiceResponse, error) {
		return nil, &CallError{Step: StepResponse, Target: t.ID, Status: response.StatusCode, Err: stripURL(err)}
	}
	if id := response.Header.Get(requestIDHeader); strings.HasPrefix(id, RequestIDPrefix) && id != r.RequestID {
		return fail(errors.New("the response belongs to another request"))
	}
	if !hasKnownLength(r.Method, response) {
		return fail(errors.New("the response has no length, so that its end can't be told from a failure"))
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxServiceResponseBytes+1))
	if err != nil {
		return fail(errors.Wrap(err, "read the response"))
	}
	if len(body) > maxServiceResponseBytes {
		return fail(errors.Errorf("the response is longer than %d bytes", maxServiceResponseBytes))
	}
	if notExecuted, draining, message := parseRejection(response.StatusCode, body); notExecuted {
		return nil, &CallError{
			Step: StepResponse, Target: t.ID, Status: response.StatusCode, NotExecuted: true, Draining: draining,
			Err: errors.Errorf("the target did not run the request: %.200s", message),
		}
	}
	return &ServiceResponse{
		Status: response.StatusCode, Header: CleanResponseHeader(response.Header), Trailer: response.Trailer, Body: body,
	}, nil
}

// hasKnownLength reports whether a truncated response would be detected.
func hasKnownLength(method string, response *http.Response) bool {
	if method == http.MethodHead || response.StatusCode == http.StatusNoContent || response.StatusCode == http.StatusNotModified {
		return true
	}
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}
