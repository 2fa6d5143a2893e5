package forward

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/internal/httpclient"
	"github.com/sequoiaroad/sequoiaroad/policy/topology"
)

const (
	dialTimeout = 350 * time.Millisecond
	// initialIdleTimeout applies to idle connections until the target has stated its
	// own keep-alive timeout.
	initialIdleTimeout = 900 * time.Millisecond
	// idleMargin is how much earlier than the target this side closes idle connections,
	// so that no request is sent while the target closes the connection.
	idleMargin             = 500 * time.Millisecond
	minConns               = 6
	maxResponseHeaderBytes = 64 << 10
)

// client is the HTTP client of one incarnation of a target. Its connections are closed
// when the incarnation ends, since another service may reuse the address.
type client struct {
	target    *topology.Target
	transport *httpclient.Transport
	// slots holds an element for each request in progress. A request that waits for a slot
	// has not been sent, so that it can still be stopped; one that waits inside the
	// transport could not.
	slots chan struct{}
	// left is closed when the target leaves or its incarnation ends, so that requests which
	// wait for a slot are sent elsewhere.
	left chan struct{}
	// opened counts the connections opened to targets of the service.
	opened *atomic.Uint64
	// held counts the bytes of the target's responses that are held in memory.
	held *atomic.Int64
}

func newClient(t *topology.Target, idleTimeout time.Duration, maxConns int, opened *atomic.Uint64) *client {
	return &client{
		target: t, transport: newTransport(idleTimeout, maxConns, opened), opened: opened, held: &atomic.Int64{}, slots: make(chan struct{}, maxConns), left: make(chan struct{}),
	}
}

// withIdleTimeout returns a client of the same target with new connections. Requests that
// use the old client share the slots.
func (c *client) withIdleTimeout(idleTimeout time.Duration) *client {
	replaced := *c
	replaced.transport = newTransport(idleTimeout, cap(c.slots), c.opened)
	return &replaced
}

// errTargetLeft means that the target leaves, so that it must get no request.
var errTargetLeft = errors.New("the target leaves")

// acquire waits for a slot. The caller releases it when the request has ended.
func (c *client) acquire(ctx context.Context) error {
	select {
	case c.slots <- struct{}{}:
		return nil
	case <-c.left:
		return errTargetLeft
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *client) release() { <-c.slots }

// clients holds a client for each target in use.
type clients struct {
	mu   sync.Mutex
	byID map[string]*client
	// idleTimeout is keyed by service.
	idleTimeout map[string]time.Duration
	// opened counts the connections opened, by service.
	opened map[string]*atomic.Uint64
}

func newClients() *clients {
	return &clients{byID: map[string]*client{}, idleTimeout: map[string]time.Duration{}, opened: map[string]*atomic.Uint64{}}
}

func newTransport(idleTimeout time.Duration, maxConns int, opened *atomic.Uint64) *httpclient.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: 2 * time.Second}
	return httpclient.NewTransport(&http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err == nil {
				opened.Add(1)
			}
			return conn, err
		},
		MaxIdleConnsPerHost:    maxConns,
		MaxConnsPerHost:        maxConns,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		WriteBufferSize:        8 << 10,
		ReadBufferSize:         4 << 10,
	})
}

// get returns the client of a target. maxConns bounds its connections, but not below
// minConns.
func (c *clients) get(t *topology.Target, maxConns int) *client {
	c.mu.Lock()
	defer c.mu.Unlock()
	if existing := c.byID[t.ID]; existing != nil {
		if existing.target.SameIncarnation(t) {
			return existing
		}
		c.drop(existing)
	}
	idleTimeout, known := c.idleTimeout[t.Service]
	if !known {
		idleTimeout = initialIdleTimeout
	}
	created := newClient(t, idleTimeout, max(minConns, maxConns), c.openedCounter(t.Service))
	c.byID[t.ID] = created
	return created
}

// openedCounter returns the counter of the connections opened to a service. The caller holds
// the mutex.
func (c *clients) openedCounter(service string) *atomic.Uint64 {
	if c.opened[service] == nil {
		c.opened[service] = &atomic.Uint64{}
	}
	return c.opened[service]
}

// connectionsOpened returns the number of connections opened so far, by service.
func (c *clients) connectionsOpened() map[string]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]uint64, len(c.opened))
	for service, n := range c.opened {
		out[service] = n.Load()
	}
	return out
}

// setKeepAlive derives the idle timeout of a service from the keep-alive timeout that
// its targets state. If it changes, the clients of the service get new connections.
func (c *clients) setKeepAlive(service string, keepAlive time.Duration) {
	if keepAlive <= 0 {
		return
	}
	idleTimeout := max(keepAlive-idleMargin, keepAlive/2)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idleTimeout[service] == idleTimeout {
		return
	}
	c.idleTimeout[service] = idleTimeout
	for id, existing := range c.byID {
		if existing.target.Service == service {
			existing.transport.CloseIdleConnections()
			c.byID[id] = existing.withIdleTimeout(idleTimeout)
		}
	}
}

// closeIdle closes the idle connections to an unresponsive target, so that the next
// request opens a new connection and detects whether the target is reachable.
func (c *clients) closeIdle(t *topology.Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if existing := c.byID[t.ID]; existing != nil {
		existing.transport.CloseIdleConnections()
	}
}

// drop removes the client of a target that leaves or whose incarnation has ended. The
// caller holds the mutex.
func (c *clients) drop(existing *client) {
	existing.transport.CloseIdleConnections()
	close(existing.left)
	delete(c.byID, existing.target.ID)
}

// dropLeaving drops the client of a target that has said in a response that it leaves.
func (c *clients) dropLeaving(target topology.Incarnation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if existing := c.byID[target.ID]; existing != nil && existing.target.Incarnation() == target {
		c.drop(existing)
	}
}

// retain drops the clients of targets that leave, or that were removed or replaced.
func (c *clients) retain(targets map[string]*topology.Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, existing := range c.byID {
		if t := targets[id]; t == nil || t.Leaving || !existing.target.SameIncarnation(t) {
			c.drop(existing)
		}
	}
}
