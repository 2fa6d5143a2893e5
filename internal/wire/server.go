package wire

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/internal/clock"
)

const (
	maxConnections     = 1024
	maxHandlersPerConn = 64
	sendRingSize       = 256
	handlerTimeout     = 10 * time.Second
	writeTimeout       = 5 * time.Second
	acceptRetryDelay   = 50 * time.Millisecond
)

// ServerOptions configures a Server.
type ServerOptions struct {
	Self        Peer
	Credentials *Credentials
	// Traffic counts the bytes of all connections; nil disables counting.
	Traffic *Traffic
	// Logger may be nil.
	Logger hclog.Logger
}

// Server handles requests of other hosts. Handlers are registered before Serve.
type Server struct {
	options  ServerOptions
	handlers map[Type]Handler
	listener net.Listener
	drops    atomic.Uint64

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// NewServer returns a server without a listener.
func NewServer(options ServerOptions) *Server {
	if options.Logger == nil {
		options.Logger = hclog.NewNullLogger()
	}
	return &Server{options: options, handlers: map[Type]Handler{}, conns: map[net.Conn]struct{}{}}
}

// RingDrops returns the number of replies that full send rings rejected.
func (s *Server) RingDrops() uint64 { return s.drops.Load() }

// Handle implements Registry. A second handler for a type replaces the first.
func (s *Server) Handle(t Type, h Handler) { s.handlers[t] = h }

// Listen binds the address, which may have port 0, and returns the bound address.
func (s *Server) Listen(address string) (net.Addr, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	s.listener = listener
	return listener.Addr(), nil
}

// Serve accepts connections until ctx ends, then closes all of them and returns
// once their goroutines have ended.
func (s *Server) Serve(ctx context.Context) error {
	if s.listener == nil {
		return errors.New("serve without a listener")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, s.closeAll)
	defer stop()
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	for {
		conn, err := s.listener.Accept()
		if ctx.Err() != nil {
			if err == nil {
				_ = conn.Close()
			}
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return errors.Wrap(err, "accept")
		}
		if err != nil {
			s.options.Logger.Warn("accept failed", "error", err)
			clock.Sleep(ctx, acceptRetryDelay)
			continue
		}
		if !s.track(ctx, conn) {
			_ = conn.Close()
			continue
		}
		running.Go(func() {
			defer s.untrack(conn)
			s.serveConn(ctx, s.options.Traffic.count(conn))
		})
	}
}

// track records the connection for closeAll. It returns false if there are too many
// connections or the server has stopped.
func (s *Server) track(ctx context.Context, conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() != nil || len(s.conns) >= maxConnections {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *Server) untrack(conn net.Conn) {
	_ = conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

func (s *Server) closeAll() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}

// serveConn reads requests from a connection. It starts the writer and runs at most
// maxHandlersPerConn handlers at a time; further requests are rejected at once.
func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	ses, err := handshakeServer(ctx, conn, s.options.Credentials, s.options.Self)
	if err != nil {
		s.options.Logger.Warn("handshake failed", "remote", conn.RemoteAddr(), "error", err)
		return
	}
	ses.countIn(s.options.Traffic)
	ctx, cancel := context.WithCancel(ctx)
	replies := newSendRing(sendRingSize, &s.drops)
	var running sync.WaitGroup
	running.Go(func() { writeLoop(ctx, ses, replies) })
	defer running.Wait()
	defer cancel()
	slots := make(chan struct{}, maxHandlersPerConn)
	for {
		f, err := readFrame(ses.reader, ses.receive)
		if err != nil {
			s.options.Logger.Debug("connection ended", "peer", ses.peer.HostID, "error", err)
			return
		}
		ses.traffic.countReceived(ses.reach, f)
		select {
		case slots <- struct{}{}:
		default:
			s.reply(ses, replies, f.callID, &RemoteError{Message: "too many concurrent requests"})
			continue
		}
		running.Go(func() {
			defer func() { <-slots }()
			s.reply(ses, replies, f.callID, s.callHandler(ctx, ses.peer, f))
		})
	}
}

func (s *Server) callHandler(ctx context.Context, from Peer, f frame) Message {
	handler := s.handlers[f.messageType]
	if handler == nil {
		return &RemoteError{Message: "no handler for this message type"}
	}
	ctx, cancel := context.WithTimeout(ctx, handlerTimeout)
	defer cancel()
	message, err := handler(ctx, from, Request{Type: f.messageType, Body: f.body})
	if err != nil {
		return &RemoteError{Message: err.Error()}
	}
	if message == nil {
		return &Ack{}
	}
	return message
}

// reply queues a reply. If the send ring is full because the peer does not read its
// replies, the connection is closed: the call of a dropped reply would otherwise wait.
func (s *Server) reply(ses *session, replies *sendRing, callID uint64, message Message) {
	body, err := Encode(message)
	if err != nil {
		message = &RemoteError{Message: err.Error()}
		if body, err = Encode(message); err != nil {
			return
		}
	}
	o := outgoing{frame: frame{messageType: message.WireType(), callID: callID, body: body}}
	if err := replies.push(o); err != nil {
		s.options.Logger.Warn("reply ring is full, closing the connection", "peer", ses.peer.HostID)
		_ = ses.conn.Close()
	}
}

// writeLoop sends the entries of the ring until ctx ends or a write fails, which
// closes the connection.
func writeLoop(ctx context.Context, ses *session, queue *sendRing) {
	defer func() { _ = ses.conn.Close() }()
	var buffer []byte
	for {
		o, ok := queue.pop()
		if !ok {
			select {
			case <-ctx.Done():
				return
			case <-queue.ready:
				continue
			}
		}
		if o.isCanceled != nil && o.isCanceled() {
			continue
		}
		var err error
		if buffer, err = appendFrame(buffer[:0], o.frame, ses.send); err != nil {
			return
		}
		if err := ses.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return
		}
		if _, err := ses.conn.Write(buffer); err != nil {
			return
		}
		ses.traffic.countSent(ses.reach, o.frame.messageType, len(buffer))
		if cap(buffer) > maxRetainedBufferBytes {
			buffer = nil
		}
	}
}

// maxRetainedBufferBytes bounds the write buffer that a connection keeps between frames.
const maxRetainedBufferBytes = 64 << 10
