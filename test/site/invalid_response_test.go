package site

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	standin "github.com/sequoiaroad/sequoiaroad/standin/site"
)

// rawTarget is a target that answers each request with given bytes and keeps its connections
// open.
type rawTarget struct {
	// response is sent with REQUEST-ID replaced by the request's ID.
	response string

	mu sync.Mutex
	// requests are the numbers of requests by connection.
	requests []int
}

// startRawTarget starts and registers a raw target with the fields of an entry.
func (f *fixture) startRawTarget(id, response string, entry object) *rawTarget {
	r := &rawTarget{response: response}
	address, stop, err := standin.ServeConnections(r.serve)
	f.g.Expect(err).NotTo(HaveOccurred())
	f.t.Cleanup(stop)
	f.registerTarget(id, address, entry)
	return r
}

func (r *rawTarget) serve(conn net.Conn) {
	r.mu.Lock()
	number := len(r.requests)
	r.requests = append(r.requests, 0)
	r.mu.Unlock()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if strings.HasPrefix(req.URL.Path, "/api/") {
			return
		}
		r.mu.Lock()
		r.requests[number]++
		r.mu.Unlock()
		_, _ = io.WriteString(conn, strings.ReplaceAll(r.response, "REQUEST-ID", req.Header.Get("X-Request-Id")))
	}
}

// counts returns the number of requests in all, and the most on one connection.
func (r *rawTarget) counts() (all, most int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range r.requests {
		all, most = all+n, max(most, n)
	}
	return all, most
}

// responseTimeout bounds how long callers of this file wait.
const responseTimeout = 10 * time.Second

// callerConn is a caller's connection to a host.
type callerConn struct {
	net.Conn
	reader *bufio.Reader
}

func (f *fixture) dialHost(h *host) *callerConn {
	conn, err := net.Dial("tcp", h.callerAddress)
	f.g.Expect(err).NotTo(HaveOccurred())
	f.t.Cleanup(func() { _ = conn.Close() })
	f.g.Expect(conn.SetDeadline(time.Now().Add(responseTimeout))).To(Succeed())
	return &callerConn{conn, bufio.NewReader(conn)}
}

// send sends a request and returns the response, whose body was read.
func (c *callerConn) send(q request) (*http.Response, string, error) {
	req, err := http.NewRequest(q.method, "http://"+virtualHost+q.uri, strings.NewReader(q.body))
	if err != nil {
		return nil, "", err
	}
	req.Header.Set("X-Request-Id", fmt.Sprintf("request-%d", lastRequestID.Add(1)))
	req.Header.Set("X-Deadline-Ms", "3000")
	req.Header.Set("Authorization", "Bearer "+q.key)
	for k, v := range q.header {
		req.Header.Set(k, v)
	}
	if err := req.Write(c); err != nil {
		return nil, "", err
	}
	resp, err := http.ReadResponse(c.reader, req)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

const (
	okStatus      = "HTTP/1.1 200 OK\r\n"
	requiredLines = "X-Request-Id: REQUEST-ID\r\nX-Response-Stamp: stamp\r\n"
	fiveBytes     = "Content-Length: 5\r\n\r\nhello"
)

// invalidStatuses are status lines that make no response.
var invalidStatuses = map[string]string{
	"status 000":           "HTTP/1.1 000 OK\r\n" + requiredLines + fiveBytes,
	"status 099":           "HTTP/1.1 099 OK\r\n" + requiredLines + fiveBytes,
	"status +20":           "HTTP/1.1 +20 OK\r\n" + requiredLines + fiveBytes,
	"status -00":           "HTTP/1.1 -00 OK\r\n" + requiredLines + fiveBytes,
	"status 600":           "HTTP/1.1 600 OK\r\n" + requiredLines + fiveBytes,
	"status 999":           "HTTP/1.1 999 OK\r\n" + requiredLines + fiveBytes,
	"status 000, no body":  "HTTP/1.1 000 OK\r\n" + requiredLines + "Content-Length: 0\r\n\r\n",
	"another protocol":     "HTTP/1.1 101 Switching Protocols\r\n" + requiredLines + "Connection: Upgrade\r\nUpgrade: other\r\n\r\nhello",
	"version of protocol":  "HTTP/2.0 200 OK\r\n" + requiredLines + fiveBytes,
	"status of two digits": "HTTP/1.1 20 OK\r\n" + requiredLines + fiveBytes,
}

// invalidFields are heads with a field whose name is not a token.
var invalidFields = map[string]string{
	"blank in a name":             okStatus + requiredLines + "X Odd: 1\r\n" + fiveBytes,
	"blank after a name":          okStatus + requiredLines + "X-Odd : 1\r\n" + fiveBytes,
	"blank after a name, no body": okStatus + requiredLines + "X-Odd : 1\r\nContent-Length: 0\r\n\r\n",
	"blank after the length":      okStatus + requiredLines + "Connection: close\r\nContent-Length : 5\r\n\r\nhello, and more",
	"blank after the encoding":    okStatus + requiredLines + "Transfer-Encoding : chunked\r\nContent-Length: 15\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	"control byte in a name":      okStatus + requiredLines + "X-\x01Odd: 1\r\n" + fiveBytes,
	"tab in a name":               okStatus + requiredLines + "X-Odd\t: 1\r\n" + fiveBytes,
	"empty name":                  okStatus + requiredLines + ": 1\r\n" + fiveBytes,
	"control byte in a value":     okStatus + requiredLines + "X-Odd: a\x01b\r\n" + fiveBytes,
	"carriage return in a value":  okStatus + requiredLines + "X-Odd: a\rb\r\n" + fiveBytes,
	"line without a colon":        okStatus + requiredLines + "X-Odd\r\n" + fiveBytes,
	"folded first line":           okStatus + " X-Odd: 1\r\n" + requiredLines + fiveBytes,
}

// testInvalidResponses expects that bytes that are no response end in one 502, on a connection
// of the caller that stays usable, and that the target's connection is not used again.
func testInvalidResponses(t *testing.T, responses map[string]string) {
	t.Parallel()
	for name, response := range responses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			desk := f.startRawTarget("raw-desk", response, object{"service": deskService})
			engine := f.startRawTarget("raw-engine", response, object{"service": engineService, "models": []any{object{"name": model, "version": 1}}})
			h := f.startHost("host-1")
			order, status := orderRequest, orderRequest
			order.uri, status.uri = "/order/1", "/status/1"
			f.expectNoResponse(h, desk, order, status, order)
			f.expectNoResponse(h, engine, promptRequest("/brief/1"), promptRequest("/brief/2"))
		})
	}
}

// expectNoResponse sends requests on one connection to a host, whose target answers none.
func (f *fixture) expectNoResponse(h *host, target *rawTarget, requests ...request) {
	conn := f.dialHost(h)
	for _, q := range requests {
		resp, body, err := conn.send(q)
		f.g.Expect(err).NotTo(HaveOccurred(), q.uri)
		f.g.Expect(resp.StatusCode).To(BeElementOf(http.StatusBadGateway, http.StatusServiceUnavailable), body)
		f.g.Expect(resp.Close).To(BeFalse())
		f.g.Expect(resp.Header).NotTo(HaveKey("X-Response-Stamp"))
	}
	all, most := target.counts()
	f.g.Expect(all).To(BeNumerically(">=", 1))
	f.g.Expect(all).To(BeNumerically("<=", len(requests)), "a request came twice")
	f.g.Expect(most).To(Equal(1), "the connection was used again")
}

// Guards against bytes whose status is none, which ended the caller's connection without an
// answer or were passed on.
func TestInvalidStatusIsNoResponse(t *testing.T) { testInvalidResponses(t, invalidStatuses) }

// Guards against heads with names that are no field names, which were passed on with a 200
// or changed the body that the caller got.
func TestInvalidFieldNameIsNoResponse(t *testing.T) { testInvalidResponses(t, invalidFields) }

// Guards against sound responses that are taken for none: folded values, a status line
// without a reason, fields of trailers and of interim responses.
func TestOddButValidResponsesAreRelayed(t *testing.T) {
	t.Parallel()
	for name, response := range map[string]string{
		"folded value":     okStatus + requiredLines + "X-Odd: a\r\n b\r\n" + fiveBytes,
		"no reason":        "HTTP/1.1 200\r\n" + requiredLines + fiveBytes,
		"line feeds only":  "HTTP/1.1 200 OK\n" + strings.ReplaceAll(requiredLines, "\r", "") + "Content-Length: 5\n\nhello",
		"interim response": "HTTP/1.1 103 Early Hints\r\nX-Hint: 1\r\n\r\n" + okStatus + requiredLines + fiveBytes,
		"trailer":          okStatus + requiredLines + "Transfer-Encoding: chunked\r\nTrailer: X-Odd\r\n\r\n5\r\nhello\r\n0\r\nX-Odd: 1\r\n\r\n",
		"all token bytes":  okStatus + requiredLines + "X-!#$%&'*+-.^_`|~09: \x80 and a\ttab\r\n" + fiveBytes,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			f.startRawTarget("raw", response, object{"service": deskService})
			resp, body, err := f.dialHost(f.startHost("host-1")).send(orderRequest)
			f.g.Expect(err).NotTo(HaveOccurred())
			f.g.Expect(resp.StatusCode).To(Equal(http.StatusOK), body)
			f.g.Expect(body).To(Equal("hello"))
			f.g.Expect(resp.Header.Get("X-Hint")).To(BeEmpty())
			f.g.Expect(resp.Trailer).To(BeEmpty())
		})
	}
}
