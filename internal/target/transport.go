package target

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	dialTimeout = 3 * time.Second
	// headerLimitBytes bounds the headers of a target's response.
	headerLimitBytes    = 64 << 10
	idleConnections     = 32
	idleConnectionLimit = 30 * time.Second
)

var errSealed = errors.New("the call is over")

// countingConn counts the bytes that are handed to the socket. Once sealed it
// writes no more, so that the count is final.
type countingConn struct {
	net.Conn
	mu      sync.Mutex
	written int64
	sealed  bool
	gate    func() error // asked once before the next write
}

// Write counts before it writes: a failed write may still have sent something.
func (c *countingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	if gate := c.gate; gate != nil {
		c.gate = nil
		if err := gate(); err != nil {
			c.sealed = true
			c.mu.Unlock()
			return 0, err
		}
	}
	c.written += int64(len(p))
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// startCall sets the gate of the next call and returns the count before it.
func (c *countingConn) startCall(gate func() error) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gate = gate
	return c.written
}

// seal ends writing and returns the count.
func (c *countingConn) seal() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}

// writeProof knows whether a call wrote anything on the connections that it got.
type writeProof struct {
	mu       sync.Mutex
	conns    map[*countingConn]int64 // bytes written before the call
	unproved bool
	sealed   bool
	gate     func() error
	gateErr  error
}

// newWriteProof follows the call that is made with the returned context. gate, if
// any, is asked right before the first byte; its error ends the call.
func newWriteProof(ctx context.Context, gate func() error) (*writeProof, context.Context) {
	p := &writeProof{conns: map[*countingConn]int64{}, gate: gate}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { p.gotConn(info.Conn) }}
	return p, httptrace.WithClientTrace(ctx, trace)
}

func (p *writeProof) gotConn(conn net.Conn) {
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	counting, ok := conn.(*countingConn)
	if !ok {
		p.unproved = true
		return
	}
	if p.sealed {
		counting.seal()
		return
	}
	if _, known := p.conns[counting]; !known {
		p.conns[counting] = counting.startCall(p.passGate)
	}
}

func (p *writeProof) passGate() error {
	if p.gate == nil {
		return nil
	}
	err := p.gate()
	p.gateErr = err
	return err
}

// nothingWritten seals the connections of a failed call and reports whether it is
// proved that no byte of the request was written.
func (p *writeProof) nothingWritten() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sealed = true
	nothing := !p.unproved
	for c, before := range p.conns {
		if c.seal() != before {
			nothing = false
		}
	}
	return nothing
}

// reached reports whether the call got a connection.
func (p *writeProof) reached() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns) > 0
}

// newTransport returns a transport for targets. It ignores proxy settings, since a
// proxy would see requests. With keepAlive off, each call gets its own connection,
// and net/http then never repeats a call by itself, which it otherwise does on reused
// connections, for instance for requests with an Idempotency-Key header.
func newTransport(keepAlive bool) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: conn}, nil
		},
		DisableKeepAlives:      !keepAlive,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idleConnections,
		IdleConnTimeout:        idleConnectionLimit,
		MaxResponseHeaderBytes: headerLimitBytes,
		// HTTP/2 would share a connection between calls, whose bytes could not be told apart.
		TLSNextProto: map[string]func(string, *tls.Conn) http.RoundTripper{},
	}
}

func wrapped(t *http.Transport, wrap func(http.RoundTripper) http.RoundTripper) http.RoundTripper {
	if wrap == nil {
		return t
	}
	return wrap(t)
}

// httpClient returns a client that does not follow redirects: a target's redirect is
// an answer for the caller.
func httpClient(t http.RoundTripper) *http.Client {
	return &http.Client{
		Transport:     t,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
