// Package relay is a TCP relay on loopback that stands in for a network link: it
// can delay, cut and restore it.
package relay

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	chunkBytes = 16 << 10
	// queuedChunks bounds the bytes in flight of one direction of a connection.
	queuedChunks = 64
)

// CutMode says how a link is cut.
type CutMode int

const (
	// Drop forwards nothing while the link is cut and goes on once it is restored.
	Drop CutMode = iota + 1
	// Reset closes all connections with a TCP reset, and new ones at once.
	Reset
	// DropResponses forwards nothing from the target while the link is cut.
	DropResponses
)

// direction is that of the bytes of a connection.
type direction int

const (
	toTarget direction = iota
	fromTarget
)

// Relay forwards connections to one address.
type Relay struct {
	target   string
	listener net.Listener

	mu        sync.Mutex
	delay     time.Duration
	cut       CutMode
	restored  chan struct{} // closed on restore; nil while the link works
	upLimit   int64
	downLimit int64
	pairs     map[*pair]bool
	blocked   map[string]bool // source addresses whose connections are refused
	closed    bool
	accepted  int
}

// New starts a relay to an address on a free loopback port. Close ends it.
func New(target string) (*Relay, error) { return Listen("127.0.0.1:0", target) }

// Listen starts a relay to an address on a given one. Close ends it.
func Listen(address, target string) (*Relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	r := &Relay{target: target, listener: listener, pairs: map[*pair]bool{}, upLimit: -1, downLimit: -1}
	go r.accept()
	return r, nil
}

// Addr returns the address to connect to.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// SetDelay sets the delay of one way; zero means none.
func (r *Relay) SetDelay(d time.Duration) {
	r.mu.Lock()
	r.delay = d
	r.mu.Unlock()
}

// CloseAfter resets each later connection once it has forwarded so many bytes to the
// target or back; -1 means never.
func (r *Relay) CloseAfter(toTarget, fromTarget int64) {
	r.mu.Lock()
	r.upLimit, r.downLimit = toTarget, fromTarget
	r.mu.Unlock()
}

// Cut cuts the link.
func (r *Relay) Cut(how CutMode) {
	r.mu.Lock()
	r.cut = how
	if r.restored == nil {
		r.restored = make(chan struct{})
	}
	pairs := r.copyPairs()
	r.mu.Unlock()
	if how == Reset {
		for _, p := range pairs {
			p.reset()
		}
	}
}

// BlockSources resets the connections from these source IP addresses, and new ones,
// until the next call. It stands in for a network partition between hosts.
func (r *Relay) BlockSources(addresses []string) {
	blocked := make(map[string]bool, len(addresses))
	for _, a := range addresses {
		blocked[a] = true
	}
	r.mu.Lock()
	r.blocked = blocked
	pairs := r.copyPairs()
	r.mu.Unlock()
	for _, p := range pairs {
		if blocked[sourceIP(p.client)] {
			p.reset()
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
	r.cut = 0
}

// Accepted returns the number of connections so far.
func (r *Relay) Accepted() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accepted
}

// Close ends the relay and its connections.
func (r *Relay) Close() {
	r.Restore()
	r.mu.Lock()
	r.closed = true
	pairs := r.copyPairs()
	r.mu.Unlock()
	_ = r.listener.Close()
	for _, p := range pairs {
		p.reset()
	}
}

func (r *Relay) copyPairs() []*pair {
	pairs := make([]*pair, 0, len(r.pairs))
	for p := range r.pairs {
		pairs = append(pairs, p)
	}
	return pairs
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
	p := &pair{client: client, gone: make(chan struct{})}
	r.mu.Lock()
	r.accepted++
	refuse := r.cut == Reset || r.closed || r.blocked[sourceIP(client)]
	up, down := r.upLimit, r.downLimit
	if !refuse {
		r.pairs[p] = true
	}
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.pairs, p)
		r.mu.Unlock()
	}()
	if refuse || !r.wait(p, toTarget) {
		p.reset()
		return
	}
	server, err := net.Dial("tcp", r.target)
	if err != nil || !p.setServer(server) {
		p.reset()
		return
	}
	var both sync.WaitGroup
	both.Go(func() { r.forward(p, toTarget, server, client, up) })
	both.Go(func() { r.forward(p, fromTarget, client, server, down) })
	both.Wait()
	p.close()
}

// wait blocks while the direction is cut and returns false if the pair is gone.
func (r *Relay) wait(p *pair, d direction) bool {
	for {
		r.mu.Lock()
		restored := r.restored
		passes := restored == nil || r.cut == DropResponses && d == toTarget
		r.mu.Unlock()
		if passes {
			return true
		}
		select {
		case <-restored:
		case <-p.gone:
			return false
		}
	}
}

type chunk struct {
	data []byte
	due  time.Time
}

// forward copies one direction. Reading goes on while earlier chunks wait for their
// delay, so that the delay does not limit the rate.
func (r *Relay) forward(p *pair, d direction, to, from net.Conn, limit int64) {
	queue := make(chan chunk, queuedChunks)
	go r.read(p, from, queue)
	for c := range queue {
		if wait := time.Until(c.due); wait > 0 {
			time.Sleep(wait)
		}
		if !r.wait(p, d) {
			continue
		}
		data := c.data
		if limit >= 0 && int64(len(data)) >= limit {
			_, _ = to.Write(data[:limit])
			p.close() // in order, so that the bytes before the limit arrive
			continue
		}
		limit -= int64(len(data))
		if limit < 0 {
			limit = -1
		}
		if _, err := to.Write(data); err != nil {
			p.reset()
		}
	}
	if half, ok := to.(*net.TCPConn); ok {
		_ = half.CloseWrite()
	}
}

func (r *Relay) read(p *pair, from net.Conn, queue chan<- chunk) {
	defer close(queue)
	for {
		buffer := make([]byte, chunkBytes)
		n, err := from.Read(buffer)
		if n > 0 {
			r.mu.Lock()
			due := time.Now().Add(r.delay)
			r.mu.Unlock()
			select {
			case queue <- chunk{buffer[:n], due}:
			case <-p.gone:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// pair is a forwarded connection.
type pair struct {
	client net.Conn
	gone   chan struct{}
	once   sync.Once

	mu     sync.Mutex
	server net.Conn
}

func (p *pair) setServer(server net.Conn) bool {
	p.mu.Lock()
	p.server = server
	p.mu.Unlock()
	select {
	case <-p.gone:
		return false
	default:
		return true
	}
}

func (p *pair) close() {
	p.once.Do(func() { close(p.gone) })
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.client.Close()
	if p.server != nil {
		_ = p.server.Close()
	}
}

func (p *pair) reset() {
	p.mu.Lock()
	for _, c := range []net.Conn{p.client, p.server} {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	p.mu.Unlock()
	p.close()
}
