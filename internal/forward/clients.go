package forward

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sequoiaroad/sequoiaroad/policy/topology"
)

const (
	dialTimeout = 350 * time.Millisecond
	// initialIdle is how long an idle connection is kept before the target has said
	// how long it keeps one.
	initialIdle = 900 * time.Millisecond
	// idleMargin is how much earlier than the target this side closes, so that no
	// request crosses the target's close.
	idleMargin   = 500 * time.Millisecond
	minConns     = 6
	answerHeader = 64 << 10
)

// client is the HTTP client of one incarnation of a target. Its connections end with
// it, since the address may be used again by another service.
type client struct {
	target    *topology.Target
	transport *http.Transport
}

// clients holds a client for each target in use.
type clients struct {
	mu   sync.Mutex
	byID map[string]*client
	idle map[string]time.Duration
}

func newClients() *clients {
	return &clients{byID: map[string]*client{}, idle: map[string]time.Duration{}}
}

func newTransport(idle time.Duration, maxConns int) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: 2 * time.Second}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConnsPerHost:    maxConns,
		MaxConnsPerHost:        maxConns,
		IdleConnTimeout:        idle,
		DisableCompression:     true,
		MaxResponseHeaderBytes: answerHeader,
		WriteBufferSize:        8 << 10,
		ReadBufferSize:         4 << 10,
	}
}

// get returns the client of a target; maxConns bounds its connections.
func (c *clients) get(t *topology.Target, maxConns int) *client {
	c.mu.Lock()
	defer c.mu.Unlock()
	if have := c.byID[t.ID]; have != nil {
		if have.target.SameIncarnation(t) {
			return have
		}
		have.transport.CloseIdleConnections()
	}
	idle, known := c.idle[t.Service]
	if !known {
		idle = initialIdle
	}
	fresh := &client{target: t, transport: newTransport(idle, max(minConns, maxConns))}
	c.byID[t.ID] = fresh
	return fresh
}

// learnIdle notes how long the targets of a service keep idle connections.
func (c *clients) learnIdle(service string, keepAlive time.Duration) {
	if keepAlive <= 0 {
		return
	}
	idle := max(keepAlive-idleMargin, keepAlive/2)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle[service] == idle {
		return
	}
	c.idle[service] = idle
	for id, have := range c.byID {
		if have.target.Service == service {
			have.transport.CloseIdleConnections()
			delete(c.byID, id)
		}
	}
}

// drop closes the idle connections to a target that shows no sign of life, so that the
// next request finds out by a new one.
func (c *clients) drop(t *topology.Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if have := c.byID[t.ID]; have != nil {
		have.transport.CloseIdleConnections()
	}
}

// retain drops the clients of targets that are gone.
func (c *clients) retain(targets map[string]*topology.Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, have := range c.byID {
		if t := targets[id]; t == nil || !have.target.SameIncarnation(t) {
			have.transport.CloseIdleConnections()
			delete(c.byID, id)
		}
	}
}
