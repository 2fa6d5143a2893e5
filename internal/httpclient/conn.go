package httpclient

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"

	"github.com/pkg/errors"
)

// trackedConn counts the bytes that its socket has taken.
type trackedConn struct {
	net.Conn
	mu      sync.Mutex // held while a write is in progress
	written int64
}

func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	return n, err
}

// bytesWritten returns the count once the write in progress has ended.
func (c *trackedConn) bytesWritten() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// trackConns makes a transport open tracked connections.
func trackConns(t *http.Transport) {
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &trackedConn{Conn: conn}, nil
	}
}

// requestWrites tells how much of a request was written.
type requestWrites struct {
	request *http.Request

	mu sync.Mutex
	// conn is the connection that the request got last, and before what was written on it
	// earlier.
	conn   *trackedConn
	before int64
}

// trackWrites returns the request that is to be sent in place of another one, and what tells
// how much of it was written.
func trackWrites(req *http.Request) (*http.Request, *requestWrites) {
	w := &requestWrites{}
	w.request = req.WithContext(httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: w.gotConn}))
	return w.request, w
}

func (w *requestWrites) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*trackedConn)
	if !ok {
		return
	}
	before := conn.bytesWritten()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conn, w.before = conn, before
}

// check returns an error if the request was not written to its end.
func (w *requestWrites) check() error {
	w.mu.Lock()
	conn, before := w.conn, w.before
	w.mu.Unlock()
	if conn == nil {
		return nil
	}
	size, err := requestSize(w.request)
	if err != nil {
		return err
	}
	if written := conn.bytesWritten() - before; written < size {
		return errors.Wrapf(io.ErrUnexpectedEOF, "the connection ended after %d of %d bytes of the request", written, size)
	}
	return nil
}

// zeros is an endless body.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// byteCounter counts what is written to it.
type byteCounter struct{ n int64 }

func (c *byteCounter) Write(p []byte) (int, error) {
	c.n += int64(len(p))
	return len(p), nil
}

// requestSize returns the number of bytes that a request has on the wire.
func requestSize(req *http.Request) (int64, error) {
	sized := req.WithContext(context.Background()) // the caller's hooks are not to be called
	sized.Body = io.NopCloser(io.LimitReader(zeros{}, req.ContentLength))
	var counter byteCounter
	if err := sized.Write(&counter); err != nil {
		return 0, errors.Wrap(err, "determine the size of a request")
	}
	return counter.n, nil
}

// unframedBody is the body of a response that ends with its connection. A socket reports that
// its peer has reset it once, to the reader or to the writer of the request. If the writer gets
// it, the body seems to end.
type unframedBody struct {
	io.ReadCloser
	writes *requestWrites
}

func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if incomplete := b.writes.check(); incomplete != nil {
			return n, incomplete
		}
	}
	return n, err
}

// IsUnframed reports whether a response has a body with neither a length nor chunks, so that
// the end of its connection ends it.
func IsUnframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}
