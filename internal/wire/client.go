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
	dialTimeout = time.Second
	minBackoff  = 50 * time.Millisecond
	maxBackoff  = time.Second
	// silenceLimit closes a connection on which a call timed out and nothing has
	// arrived for this long after the first unanswered call. After a network partition TCP would otherwise wait
	// for its next retransmission, which can take longer than the freshness
	// deadline.
	silenceLimit = 1500 * time.Millisecond
	// idleForget is the time after which an address without calls is forgotten.
	idleForget = time.Minute
)

// ErrClosed means that the client has been closed.
var ErrClosed = errors.New("the client is closed")

// ClientOptions configure a Client.
type ClientOptions struct {
	Self        Peer
	Credentials *Credentials
	// LocalIP is the source address of connections, so that firewalls between hosts
	// can be strict; the zero address leaves the choice to the system.
	LocalIP netip.Addr
	// Traffic counts the bytes of all connections; nil counts nothing.
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

	mu     sync.Mutex
	closed bool
	links  map[string]*link
}

// NewClient returns a client without connections.
func NewClient(options ClientOptions) *Client {
	if options.Logger == nil {
		options.Logger = hclog.NewNullLogger()
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{options: options, ctx: ctx, cancel: cancel, links: map[string]*link{}}
}

// RingDrops counts messages that full send rings dropped or refused.
func (c *Client) RingDrops() uint64 { return c.drops.Load() }

// Close ends all connections and fails their calls.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cancel()
	c.running.Wait()
}

// link is the state of one address: at most one connection, and the backoff
// after a failure.
type link struct {
	address string

	mu       sync.Mutex
	conn     *clientConn
	failures int
	retryAt  time.Time
	lastErr  error
	lastCall time.Time
}

// clientConn is one connection or the attempt to open it.
type clientConn struct {
	queue *ring
	// drop ends the connection.
	drop context.CancelFunc

	mu       sync.Mutex
	nextID   uint64
	waiting  map[uint64]chan answer
	closeErr error
	// unansweredSince is the time of the first call after the last frame that
	// arrived; zero if there is none.
	unansweredSince time.Time
}

type answer struct {
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
	defer conn.forget(id)
	err = conn.queue.push(outgoing{
		frame:    frame{messageType: request.WireType(), callID: id, body: body},
		canceled: func() bool { return ctx.Err() != nil },
		dropped:  func(err error) { conn.deliver(id, answer{err: err}) },
	})
	if err != nil {
		return errors.Wrapf(err, "call %s", address)
	}
	select {
	case <-ctx.Done():
		conn.checkSilence()
		return errors.Wrapf(ctx.Err(), "call %s", address)
	case a := <-result:
		if a.err != nil {
			return errors.Wrapf(a.err, "call %s", address)
		}
		return errors.Wrapf(decodeReply(a.frame, reply), "call %s", address)
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
	l := c.links[address]
	if l == nil {
		c.forgetIdle(now)
		l = &link{address: address}
		c.links[address] = l
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastCall = now
	if l.conn != nil {
		return l.conn, nil
	}
	if now.Before(l.retryAt) {
		return nil, errors.Wrap(l.lastErr, "waiting to reconnect")
	}
	ctx, cancel := context.WithCancel(c.ctx)
	conn := &clientConn{queue: newRing(sendRingEntries, &c.drops), drop: cancel,
		waiting: map[uint64]chan answer{}}
	l.conn = conn
	c.running.Go(func() {
		defer cancel()
		c.run(ctx, l, conn)
	})
	return conn, nil
}

// forgetIdle bounds the number of links by the addresses in use.
func (c *Client) forgetIdle(now time.Time) {
	for address, l := range c.links {
		l.mu.Lock()
		idle := now.Sub(l.lastCall) > idleForget
		if idle && l.conn != nil {
			l.conn.drop()
		}
		l.mu.Unlock()
		if idle {
			delete(c.links, address)
		}
	}
}

// run opens the connection, reads answers until it ends, and then fails the calls
// that wait.
func (c *Client) run(ctx context.Context, l *link, conn *clientConn) {
	err := c.exchange(ctx, l, conn)
	l.mu.Lock()
	l.conn = nil
	l.lastErr = err
	backoff := min(minBackoff<<min(l.failures, 10), maxBackoff)
	l.failures++
	// Full jitter over the upper half keeps hosts from reconnecting in step.
	l.retryAt = time.Now().Add(backoff/2 + rand.N(backoff/2))
	l.mu.Unlock()
	conn.end(err)
	c.options.Logger.Debug("connection ended", "address", l.address, "error", err)
}

func (c *Client) exchange(ctx context.Context, l *link, conn *clientConn) error {
	dialer := net.Dialer{Timeout: dialTimeout}
	if c.options.LocalIP.IsValid() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(c.options.LocalIP, 0))
	}
	raw, err := dialer.DialContext(ctx, "tcp", l.address)
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
	l.mu.Lock()
	l.failures = 0
	l.mu.Unlock()
	conn.heard()
	ctx, cancel := context.WithCancel(ctx)
	var writer sync.WaitGroup
	writer.Go(func() { writeLoop(ctx, ses, conn.queue) })
	defer writer.Wait()
	defer cancel()
	for {
		f, err := readFrame(ses.reader, ses.recv)
		if err != nil {
			return errors.Wrap(err, "read")
		}
		conn.heard()
		conn.deliver(f.callID, answer{frame: f})
	}
}

// register reserves a call id.
func (c *clientConn) register() (uint64, chan answer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeErr != nil {
		return 0, nil, c.closeErr
	}
	c.nextID++
	result := make(chan answer, 1)
	c.waiting[c.nextID] = result
	if c.unansweredSince.IsZero() {
		c.unansweredSince = time.Now()
	}
	return c.nextID, result, nil
}

func (c *clientConn) forget(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, id)
}

// deliver hands an answer to its call. An answer to an unknown call, such as one
// that has timed out, is dropped.
func (c *clientConn) deliver(id uint64, a answer) {
	c.mu.Lock()
	result := c.waiting[id]
	delete(c.waiting, id)
	c.mu.Unlock()
	if result != nil {
		result <- a
	}
}

func (c *clientConn) heard() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unansweredSince = time.Time{}
}

// checkSilence drops the connection if calls have gone unanswered for longer than
// silenceLimit.
func (c *clientConn) checkSilence() {
	c.mu.Lock()
	silent := !c.unansweredSince.IsZero() && time.Since(c.unansweredSince) > silenceLimit
	c.mu.Unlock()
	if silent {
		c.drop()
	}
}

func (c *clientConn) end(err error) {
	if err == nil {
		err = errRingClosed
	}
	c.mu.Lock()
	c.closeErr = err
	waiting := c.waiting
	c.waiting = map[uint64]chan answer{}
	c.mu.Unlock()
	c.queue.close(err)
	for _, result := range waiting {
		result <- answer{err: err}
	}
}
