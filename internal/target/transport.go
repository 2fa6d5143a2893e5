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

	"github.com/sequoiaroad/sequoiaroad/internal/httpclient"
)

const (
	dialTimeout = 3 * time.Second
	// maxResponseHeaderBytes bounds the headers of a target's response.
	maxResponseHeaderBytes = 64 << 10
	maxIdleConnsPerTarget  = 32
	idleConnTimeout        = 30 * time.Second
)

var errSealed = errors.New("the call has ended")

// countingConn counts the bytes that are handed to the socket. Once sealed it rejects
// writes, so that the count is final.
type countingConn struct {
	net.Conn
	mu          sync.Mutex
	written     int64
	sealed      bool
	beforeWrite func() error // called once, before the next write
}

// Write counts before it writes, because a failed write may still have sent some bytes.
func (c *countingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	if beforeWrite := c.beforeWrite; beforeWrite != nil {
		c.beforeWrite = nil
		if err := beforeWrite(); err != nil {
			c.sealed = true
			c.mu.Unlock()
			return 0, err
		}
	}
	c.written += int64(len(p))
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// beginCall sets the check for the next call and returns the count before it.
func (c *countingConn) beginCall(beforeWrite func() error) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.beforeWrite = beforeWrite
	return c.written
}

// seal rejects all further writes and returns the count.
func (c *countingConn) seal() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}

// writeTracker determines whether a call wrote anything on the connections that it got.
type writeTracker struct {
	mu             sync.Mutex
	writtenBefore  map[*countingConn]int64 // bytes written before the call
	untracked      bool                    // set if the call got a connection of another type
	sealed         bool
	beforeWrite    func() error
	beforeWriteErr error
}

// newWriteTracker tracks the call that is made with the returned context. beforeWrite,
// if not nil, is called right before the first byte; its error ends the call.
func newWriteTracker(ctx context.Context, beforeWrite func() error) (*writeTracker, context.Context) {
	t := &writeTracker{writtenBefore: map[*countingConn]int64{}, beforeWrite: beforeWrite}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { t.gotConn(info.Conn) }}
	return t, httptrace.WithClientTrace(ctx, trace)
}

func (t *writeTracker) gotConn(conn net.Conn) {
	if tlsConn, ok := conn.(*tls.Conn); ok {
		conn = tlsConn.NetConn()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	counting, ok := conn.(*countingConn)
	if !ok {
		t.untracked = true
		return
	}
	if t.sealed {
		counting.seal()
		return
	}
	if _, tracked := t.writtenBefore[counting]; !tracked {
		t.writtenBefore[counting] = counting.beginCall(t.runBeforeWrite)
	}
}

func (t *writeTracker) runBeforeWrite() error {
	if t.beforeWrite == nil {
		return nil
	}
	err := t.beforeWrite()
	t.beforeWriteErr = err
	return err
}

// seal rejects further writes of a failed call and reports whether provably no byte of
// the request was written.
func (t *writeTracker) seal() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sealed = true
	unwritten := !t.untracked
	for c, before := range t.writtenBefore {
		if c.seal() != before {
			unwritten = false
		}
	}
	return unwritten
}

// gotConnection reports whether the call got a connection.
func (t *writeTracker) gotConnection() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.writtenBefore) > 0
}

// newTransport returns a transport for targets. It ignores proxy settings, because a
// proxy could read the requests. With keepAlive off, each call gets its own connection,
// and net/http then never repeats a call by itself, as it does on reused connections,
// for instance for requests with an Idempotency-Key header.
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
		MaxIdleConnsPerHost:    maxIdleConnsPerTarget,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		// HTTP/2 would share a connection between calls, so that their bytes could not
		// be counted separately.
		TLSNextProto: map[string]func(string, *tls.Conn) http.RoundTripper{},
	}
}

func wrapTransport(t *http.Transport, wrap func(http.RoundTripper) http.RoundTripper) http.RoundTripper {
	checked := httpclient.NewUntrackedTransport(t)
	if wrap == nil {
		return checked
	}
	return wrap(checked)
}

// newHTTPClient returns a client that does not follow redirects: a target's redirect is
// passed on to the caller.
func newHTTPClient(t http.RoundTripper) *http.Client {
	return &http.Client{
		Transport:     t,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
