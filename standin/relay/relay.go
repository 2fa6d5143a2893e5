// Package relay is a TCP relay that stands in for a network link. Tests use it to delay,
// cut and restore the link.
package relay

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	chunkBytes = 16 << 10
	// queuedChunks limits the data in flight in each direction of a connection.
	queuedChunks = 64
)

// CutMode is the way in which a link is cut.
type CutMode int

const (
	// Drop forwards nothing while the link is cut, and forwards the held data once it is
	// restored.
	Drop CutMode = iota + 1
	// Reset closes existing and new connections with a TCP reset.
	Reset
	// DropResponses is like Drop, but only for data from the target.
	DropResponses
)

// direction is the direction of data on a connection.
type direction int

const (
	toTarget direction = iota
	fromTarget
)

// Relay forwards connections to a target address.
type Relay struct {
	target   string
	listener net.Listener

	mu              sync.Mutex
	delay           time.Duration
	cutMode         CutMode
	restored        chan struct{} // closed by Restore; nil while the link is not cut
	toTargetLimit   int64
	fromTargetLimit int64
	connections     map[*connection]bool
	blocked         map[string]bool // source IP addresses whose connections are reset
	closed          bool
	accepted        int
}

// New starts a relay to target on a free loopback port. Close stops it.
func New(target string) (*Relay, error) { return Listen("127.0.0.1:0", target) }

// Listen starts a relay from address to target. Close stops it.
func Listen(address, target string) (*Relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	r := &Relay{target: target, listener: listener, connections: map[*connection]bool{}, toTargetLimit: -1, fromTargetLimit: -1}
	go r.accept()
	return r, nil
}

// Addr returns the address to connect to.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// SetDelay sets the delay of data in each direction; zero means none.
func (r *Relay) SetDelay(d time.Duration) {
	r.mu.Lock()
	r.delay = d
	r.mu.Unlock()
}

// CloseAfter closes each later connection once it has forwarded this many bytes to the
// target or from it; -1 means no limit.
func (r *Relay) CloseAfter(toTargetBytes, fromTargetBytes int64) {
	r.mu.Lock()
	r.toTargetLimit, r.fromTargetLimit = toTargetBytes, fromTargetBytes
	r.mu.Unlock()
}

// Cut cuts the link until Restore is called.
func (r *Relay) Cut(mode CutMode) {
	r.mu.Lock()
	r.cutMode = mode
	if r.restored == nil {
		r.restored = make(chan struct{})
	}
	connections := r.copyConnections()
	r.mu.Unlock()
	if mode == Reset {
		for _, c := range connections {
			c.reset()
		}
	}
}

// Silence makes the open connections silent for good: they stay open and carry nothing in
// either direction. New connections work.
func (r *Relay) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.connections {
		c.silent.Store(true)
	}
}

// BlockSources resets existing and new connections from these IP addresses until the
// next call. It simulates a network partition between hosts.
func (r *Relay) BlockSources(addresses []string) {
	blocked := make(map[string]bool, len(addresses))
	for _, a := range addresses {
		blocked[a] = true
	}
	r.mu.Lock()
	r.blocked = blocked
	connections := r.copyConnections()
	r.mu.Unlock()
	for _, c := range connections {
		if blocked[sourceIP(c.client)] {
			c.reset()
		}
	}
}

func sourceIP(conn net.Conn) string {
	host, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	return host
}

// Restore ends a cut.
func (r *Relay) Restore() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.restored != nil {
		close(r.restored)
		r.restored = nil
	}
	r.cutMode = 0
}

// Accepted returns the number of connections accepted so far.
func (r *Relay) Accepted() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accepted
}

// Close stops the relay and resets its connections.
func (r *Relay) Close() {
	r.Restore()
	r.mu.Lock()
	r.closed = true
	connections := r.copyConnections()
	r.mu.Unlock()
	_ = r.listener.Close()
	for _, c := range connections {
		c.reset()
	}
}

// copyConnections returns the open connections. The caller holds the mutex.
func (r *Relay) copyConnections() []*connection {
	connections := make([]*connection, 0, len(r.connections))
	for c := range r.connections {
		connections = append(connections, c)
	}
	return connections
}

func (r *Relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(conn)
	}
}

func (r *Relay) serve(client net.Conn) {
	c := &connection{client: client, closed: make(chan struct{})}
	r.mu.Lock()
	r.accepted++
	rejected := r.cutMode == Reset || r.closed || r.blocked[sourceIP(client)]
	toTargetLimit, fromTargetLimit := r.toTargetLimit, r.fromTargetLimit
	if !rejected {
		r.connections[c] = true
	}
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.connections, c)
		r.mu.Unlock()
	}()
	if rejected || !r.awaitOpen(c, toTarget) {
		c.reset()
		return
	}
	server, err := net.Dial("tcp", r.target)
	if err != nil || !c.setServer(server) {
		c.reset()
		return
	}
	var directions sync.WaitGroup
	directions.Go(func() { r.forward(c, toTarget, server, client, toTargetLimit) })
	directions.Go(func() { r.forward(c, fromTarget, client, server, fromTargetLimit) })
	directions.Wait()
	c.close()
}

// awaitOpen blocks while the link is cut in the direction. It returns false if the
// connection is closed first.
func (r *Relay) awaitOpen(c *connection, d direction) bool {
	for {
		r.mu.Lock()
		restored := r.restored
		open := restored == nil || r.cutMode == DropResponses && d == toTarget
		r.mu.Unlock()
		if open {
			return true
		}
		select {
		case <-restored:
		case <-c.closed:
			return false
		}
	}
}

// chunk is data that is to be forwarded at a point in time.
type chunk struct {
	data   []byte
	sendAt time.Time
}

// forward copies the data of one direction. Reading continues while earlier chunks are
// delayed, so that the delay does not limit the throughput.
func (r *Relay) forward(conn *connection, d direction, to, from net.Conn, limit int64) {
	queue := make(chan chunk, queuedChunks)
	go r.read(conn, from, queue)
	for c := range queue {
		if delay := time.Until(c.sendAt); delay > 0 {
			time.Sleep(delay)
		}
		if !r.awaitOpen(conn, d) {
			continue
		}
		if conn.silent.Load() {
			continue
		}
		data := c.data
		if limit >= 0 && int64(len(data)) >= limit {
			_, _ = to.Write(data[:limit])
			conn.close() // not reset, which could discard the bytes before the limit
			continue
		}
		limit -= int64(len(data))
		if limit < 0 {
			limit = -1
		}
		if _, err := to.Write(data); err != nil {
			conn.reset()
		}
	}
	if tcp, ok := to.(*net.TCPConn); ok && !conn.silent.Load() {
		_ = tcp.CloseWrite()
	}
}

// read queues the data of one direction until the connection ends.
func (r *Relay) read(conn *connection, from net.Conn, queue chan<- chunk) {
	defer close(queue)
	for {
		buffer := make([]byte, chunkBytes)
		n, err := from.Read(buffer)
		if n > 0 {
			r.mu.Lock()
			sendAt := time.Now().Add(r.delay)
			r.mu.Unlock()
			select {
			case queue <- chunk{buffer[:n], sendAt}:
			case <-conn.closed:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// connection is a client's connection and the one to the target that it is forwarded to.
type connection struct {
	client net.Conn
	closed chan struct{}
	once   sync.Once
	// silent means that the connection carries nothing any more.
	silent atomic.Bool

	mu     sync.Mutex
	server net.Conn
}

// setServer sets the connection to the target. It returns false if c is closed.
func (c *connection) setServer(server net.Conn) bool {
	c.mu.Lock()
	c.server = server
	c.mu.Unlock()
	select {
	case <-c.closed:
		return false
	default:
		return true
	}
}

func (c *connection) close() {
	c.once.Do(func() { close(c.closed) })
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.client.Close()
	if c.server != nil {
		_ = c.server.Close()
	}
}

func (c *connection) reset() {
	c.mu.Lock()
	for _, conn := range []net.Conn{c.client, c.server} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	c.mu.Unlock()
	c.close()
}
