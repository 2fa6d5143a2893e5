package wire

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// minDialTimeout is short, since TCP repeats a lost first packet only after a second; a
	// host that was not up yet is reached earlier by a new attempt. The timeout doubles with
	// each failure up to maxDialTimeout, so that slow links are used, too.
	minDialTimeout = 400 * time.Millisecond
	maxDialTimeout = time.Second
	minBackoff     = 50 * time.Millisecond
	maxBackoff     = time.Second
	// replyTimeout is the time after which a connection is closed if a call on it has
	// timed out and no frame has arrived since the first call without a reply. After a
	// network partition TCP would otherwise wait for its next retransmission, and a
	// connection that has become silent would never end; both can take longer than the
	// freshness deadline.
	replyTimeout = 800 * time.Millisecond
	// idleEndpointTimeout is the time after which an endpoint without calls is evicted.
	idleEndpointTimeout = time.Minute
)

// ErrClosed means that the client has been closed.
var ErrClosed = errors.New("the client is closed")

// ClientOptions configures a Client.
type ClientOptions struct {
	Self        Peer
	Credentials *Credentials
	// LocalIP is the source address of connections, so that firewall rules between
	// hosts can match it; the zero address leaves the choice to the system.
	LocalIP netip.Addr
	// Traffic counts the bytes of all connections; nil disables counting.
	Traffic *Traffic
	// Logger may be nil.
	Logger hclog.Logger
}

// Client implements Caller with one connection per address.
type Client struct {
	options ClientOptions
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
	drops   atomic.Uint64

	mu        sync.Mutex
	closed    bool
	endpoints map[string]*endpoint
}

// NewClient returns a client that has not opened a connection yet.
func NewClient(options ClientOptions) *Client {
	if options.Logger == nil {
		options.Logger = hclog.NewNullLogger()
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{options: options, ctx: ctx, cancel: cancel, endpoints: map[string]*endpoint{}}
}

// RingDrops returns the number of messages that full send rings dropped or rejected.
func (c *Client) RingDrops() uint64 { return c.drops.Load() }

// Close closes all connections and fails their pending calls.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cancel()
	c.running.Wait()
}

// endpoint is the state of one address: at most one connection, and the backoff
// after a failure.
type endpoint struct {
	address string

	mu       sync.Mutex
	conn     *clientConn
	failures int
	retryAt  time.Time
	lastErr  error
	lastCall time.Time
}

func (e *endpoint) dialTimeout() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return min(minDialTimeout<<min(e.failures, 10), maxDialTimeout)
}

// clientConn is a connection that is open or being opened.
type clientConn struct {
	queue *sendRing
	// cancel closes the connection.
	cancel context.CancelFunc

	mu       sync.Mutex
	nextID   uint64
	pending  map[uint64]chan callResult
	closeErr error
	// awaitingReplySince is the time of the first call since a frame last arrived;
	// zero if there is none.
	awaitingReplySince time.Time
}

type callResult struct {
	frame frame
	err   error
}

// Call implements Caller.
func (c *Client) Call(ctx context.Context, address string, request, reply Message) error {
	body, err := Encode(request)
	if err != nil {
		return errors.Wrapf(err, "call %s", address)
	}
	conn, err := c.connection(address)
	if err != nil {
		return errors.Wrapf(err, "call %s", address)
	}
	id, result, err := conn.register()
	if err != nil {
		return errors.Wrapf(err, "call %s", address)
	}
	defer conn.unregister(id)
	err = conn.queue.push(outgoing{
		frame:      frame{messageType: request.WireType(), callID: id, body: body},
		isCanceled: func() bool { return ctx.Err() != nil },
		onDrop:     func(err error) { conn.deliver(id, callResult{err: err}) },
	})
	if err != nil {
		return errors.Wrapf(err, "call %s", address)
	}
	select {
	case <-ctx.Done():
		conn.closeIfUnresponsive()
		return errors.Wrapf(ctx.Err(), "call %s", address)
	case r := <-result:
		if r.err != nil {
			return errors.Wrapf(r.err, "call %s", address)
		}
		return errors.Wrapf(decodeReply(r.frame, reply), "call %s", address)
	}
}

func decodeReply(f frame, reply Message) error {
	if f.messageType == TypeError {
		remote := &RemoteError{}
		if err := msgpack.Unmarshal(f.body, remote); err != nil {
			return errors.Wrap(err, "decode error reply")
		}
		return remote
	}
	return Request{Type: f.messageType, Body: f.body}.Decode(reply)
}

// connection returns the connection of the address and opens one if the backoff
// allows it.
func (c *Client) connection(address string) (*clientConn, error) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, ErrClosed
	}
	e := c.endpoints[address]
	if e == nil {
		c.evictIdle(now)
		e = &endpoint{address: address}
		c.endpoints[address] = e
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastCall = now
	if e.conn != nil {
		return e.conn, nil
	}
	if now.Before(e.retryAt) {
		return nil, errors.Wrap(e.lastErr, "waiting to reconnect")
	}
	ctx, cancel := context.WithCancel(c.ctx)
	conn := &clientConn{queue: newSendRing(sendRingSize, &c.drops), cancel: cancel,
		pending: map[uint64]chan callResult{}}
	e.conn = conn
	c.running.Go(func() {
		defer cancel()
		c.run(ctx, e, conn)
	})
	return conn, nil
}

// evictIdle removes endpoints without recent calls, which bounds their number by the
// addresses in use.
func (c *Client) evictIdle(now time.Time) {
	for address, e := range c.endpoints {
		e.mu.Lock()
		idle := now.Sub(e.lastCall) > idleEndpointTimeout
		if idle && e.conn != nil {
			e.conn.cancel()
		}
		e.mu.Unlock()
		if idle {
			delete(c.endpoints, address)
		}
	}
}

// run opens the connection, reads replies until the connection ends, and then sets the
// backoff and fails the pending calls.
func (c *Client) run(ctx context.Context, e *endpoint, conn *clientConn) {
	err := c.connectAndRead(ctx, e, conn)
	e.mu.Lock()
	e.conn = nil
	e.lastErr = err
	backoff := min(minBackoff<<min(e.failures, 10), maxBackoff)
	e.failures++
	// Jitter over the upper half of the backoff keeps hosts from reconnecting at the
	// same time.
	e.retryAt = time.Now().Add(backoff/2 + rand.N(backoff/2))
	e.mu.Unlock()
	conn.shutDown(err)
	c.options.Logger.Debug("connection ended", "address", e.address, "error", err)
}

func (c *Client) connectAndRead(ctx context.Context, e *endpoint, conn *clientConn) error {
	dialer := net.Dialer{Timeout: e.dialTimeout()}
	if c.options.LocalIP.IsValid() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(c.options.LocalIP, 0))
	}
	raw, err := dialer.DialContext(ctx, "tcp", e.address)
	if err != nil {
		return errors.Wrap(err, "dial")
	}
	raw = c.options.Traffic.count(raw)
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stop()
	defer func() { _ = raw.Close() }()
	ses, err := handshakeClient(ctx, raw, c.options.Credentials, c.options.Self)
	if err != nil {
		return err
	}
	ses.countIn(c.options.Traffic)
	e.mu.Lock()
	e.failures = 0
	e.mu.Unlock()
	conn.markResponsive()
	ctx, cancel := context.WithCancel(ctx)
	var writer sync.WaitGroup
	writer.Go(func() { writeLoop(ctx, ses, conn.queue) })
	defer writer.Wait()
	defer cancel()
	for {
		f, err := readFrame(ses.reader, ses.receive)
		if err != nil {
			return errors.Wrap(err, "read")
		}
		ses.traffic.countReceived(ses.reach, f)
		conn.markResponsive()
		conn.deliver(f.callID, callResult{frame: f})
	}
}

// register assigns a call id and returns the channel for the result of the call.
func (c *clientConn) register() (uint64, chan callResult, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeErr != nil {
		return 0, nil, c.closeErr
	}
	c.nextID++
	result := make(chan callResult, 1)
	c.pending[c.nextID] = result
	if c.awaitingReplySince.IsZero() {
		c.awaitingReplySince = time.Now()
	}
	return c.nextID, result, nil
}

func (c *clientConn) unregister(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

// deliver passes a result to its call. A result for an unknown call, such as one that has
// timed out, is dropped.
func (c *clientConn) deliver(id uint64, r callResult) {
	c.mu.Lock()
	result := c.pending[id]
	delete(c.pending, id)
	c.mu.Unlock()
	if result != nil {
		result <- r
	}
}

// markResponsive records that a frame has arrived.
func (c *clientConn) markResponsive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitingReplySince = time.Time{}
}

// closeIfUnresponsive closes the connection if calls have waited without a frame for
// longer than replyTimeout.
func (c *clientConn) closeIfUnresponsive() {
	c.mu.Lock()
	unresponsive := !c.awaitingReplySince.IsZero() && time.Since(c.awaitingReplySince) > replyTimeout
	c.mu.Unlock()
	if unresponsive {
		c.cancel()
	}
}

// shutDown closes the send ring and fails the pending calls.
func (c *clientConn) shutDown(err error) {
	if err == nil {
		err = errConnectionClosed
	}
	c.mu.Lock()
	c.closeErr = err
	pending := c.pending
	c.pending = map[uint64]chan callResult{}
	c.mu.Unlock()
	c.queue.close(err)
	for _, result := range pending {
		result <- callResult{err: err}
	}
}
