package wire

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

// echo is both the request and the reply of the tests.
type echo struct{ Text string }

func (*echo) WireType() Type { return TypeProbe }

func secretCredentials(t *testing.T, text string) *Credentials {
	t.Helper()
	c, err := SecretCredentials([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// startServer serves on loopback until the test ends.
func startServer(t *testing.T, c *Credentials, register func(*Server)) string {
	t.Helper()
	s := NewServer(ServerOptions{Self: Peer{HostID: "server"}, Credentials: c})
	register(s)
	address, err := s.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return address.String()
}

func startClient(t *testing.T, c *Credentials) *Client {
	t.Helper()
	client := NewClient(ClientOptions{Self: Peer{HostID: "client", Incarnation: "i1", Address: "127.0.0.1:9"}, Credentials: c})
	t.Cleanup(client.Close)
	return client
}

func echoHandler(_ context.Context, from Peer, r Request) (Message, error) {
	m := &echo{}
	if err := r.Decode(m); err != nil {
		return nil, err
	}
	if m.Text == "fail" {
		return nil, errors.New("refused")
	}
	m.Text += " from " + from.HostID
	return m, nil
}

func contextWithTimeout(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

// Guards against replies that are delivered to another call, and against lost remote
// errors.
func TestConcurrentCallsReceiveTheirOwnReplies(t *testing.T) {
	g := NewWithT(t)
	c := secretCredentials(t, "a shared secret of the fleet")
	address := startServer(t, c, func(s *Server) { s.Handle(TypeProbe, echoHandler) })
	client := startClient(t, c)
	results := make(chan error, 50)
	for i := range 50 {
		go func() {
			text := time.Duration(i).String()
			reply := &echo{}
			err := client.Call(contextWithTimeout(t, 5*time.Second), address, &echo{Text: text}, reply)
			if err == nil && reply.Text != text+" from client" {
				err = errors.Errorf("reply %q to %q", reply.Text, text)
			}
			results <- err
		}()
	}
	for range 50 {
		g.Expect(<-results).To(Succeed())
	}
	var remote *RemoteError
	err := client.Call(contextWithTimeout(t, 5*time.Second), address, &echo{Text: "fail"}, &echo{})
	g.Expect(errors.As(err, &remote)).To(BeTrue())
	g.Expect(remote.Message).To(Equal("refused"))
}

// Guards against a peer without the secret reaching a handler, and against a client
// that sends requests to a server without the secret.
func TestHandshakeRejectsPeerWithAnotherSecret(t *testing.T) {
	g := NewWithT(t)
	handled := make(chan struct{}, 1)
	address := startServer(t, secretCredentials(t, "a shared secret of the fleet"), func(s *Server) {
		s.Handle(TypeProbe, func(context.Context, Peer, Request) (Message, error) {
			handled <- struct{}{}
			return &Ack{}, nil
		})
	})
	client := startClient(t, secretCredentials(t, "the secret of another fleet"))
	err := client.Call(contextWithTimeout(t, 5*time.Second), address, &echo{}, &echo{})
	g.Expect(errors.Is(err, ErrHandshake)).To(BeTrue(), "%v", err)
	g.Expect(handled).To(BeEmpty())
}

// Guards against a late reply that is delivered to a later call, and against a call that
// outlives its deadline.
func TestLateReplyIsDropped(t *testing.T) {
	g := NewWithT(t)
	c := secretCredentials(t, "a shared secret of the fleet")
	release := make(chan struct{})
	address := startServer(t, c, func(s *Server) {
		s.Handle(TypeProbe, func(ctx context.Context, from Peer, r Request) (Message, error) {
			m := &echo{}
			if err := r.Decode(m); err != nil {
				return nil, err
			}
			if m.Text == "slow" {
				<-release
			}
			return m, nil
		})
	})
	client := startClient(t, c)
	err := client.Call(contextWithTimeout(t, 50*time.Millisecond), address, &echo{Text: "slow"}, &echo{})
	g.Expect(errors.Is(err, context.DeadlineExceeded)).To(BeTrue(), "%v", err)
	close(release)
	reply := &echo{}
	g.Expect(client.Call(contextWithTimeout(t, 5*time.Second), address, &echo{Text: "next"}, reply)).To(Succeed())
	g.Expect(reply.Text).To(Equal("next"))
}

// Guards against a client that does not reconnect after its peer restarts.
func TestClientReconnects(t *testing.T) {
	g := NewWithT(t)
	c := secretCredentials(t, "a shared secret of the fleet")
	client := startClient(t, c)
	probe, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	address := probe.Addr().String()
	g.Expect(probe.Close()).To(Succeed())
	g.Expect(client.Call(contextWithTimeout(t, time.Second), address, &echo{}, &echo{})).NotTo(Succeed())
	for range 2 {
		s := NewServer(ServerOptions{Credentials: c})
		s.Handle(TypeProbe, echoHandler)
		_, err := s.Listen(address)
		g.Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- s.Serve(ctx) }()
		g.Eventually(func() error {
			return client.Call(contextWithTimeout(t, time.Second), address, &echo{}, &echo{})
		}, 5*time.Second, 10*time.Millisecond).Should(Succeed())
		cancel()
		g.Expect(<-done).To(Succeed())
	}
}

// Guards against a full ring that blocks or drops a call, and against dropping anything
// but the oldest digest to make room.
func TestFullRingDropsOldestDigestOnly(t *testing.T) {
	g := NewWithT(t)
	r := newSendRing(3, new(atomic.Uint64))
	var dropped []uint64
	push := func(messageType Type, id uint64) error {
		return r.push(outgoing{frame: frame{messageType: messageType, callID: id},
			onDrop: func(error) { dropped = append(dropped, id) }})
	}
	g.Expect(push(TypeProbe, 1)).To(Succeed())
	g.Expect(push(TypeDigest, 2)).To(Succeed())
	g.Expect(push(TypeDigest, 3)).To(Succeed())
	g.Expect(push(TypeDigest, 4)).To(Succeed())
	g.Expect(push(TypeProbe, 5)).To(Succeed())
	g.Expect(push(TypeProbe, 6)).To(Succeed())
	g.Expect(push(TypeProbe, 7)).To(MatchError(ErrRingFull))
	g.Expect(dropped).To(Equal([]uint64{2, 3, 4}))
	for _, want := range []uint64{1, 5, 6} {
		o, ok := r.pop()
		g.Expect(ok).To(BeTrue())
		g.Expect(o.frame.callID).To(Equal(want))
	}
}

// nextEcho is echo in a later version with one more field.
type nextEcho struct {
	Text  string
	Count uint64
}

func (*nextEcho) WireType() Type { return TypeProbe }

// Guards against decoding errors between two versions of a message that differ by a field,
// which would break a rolling upgrade.
func TestDecodeToleratesAddedAndMissingFields(t *testing.T) {
	g := NewWithT(t)
	body, err := Encode(&nextEcho{Text: "text", Count: 1 << 40})
	g.Expect(err).NotTo(HaveOccurred())
	older := &echo{}
	g.Expect(Request{Type: TypeProbe, Body: body}.Decode(older)).To(Succeed())
	g.Expect(older.Text).To(Equal("text"))
	body, err = Encode(&echo{Text: "text"})
	g.Expect(err).NotTo(HaveOccurred())
	newer := &nextEcho{}
	g.Expect(Request{Type: TypeProbe, Body: body}.Decode(newer)).To(Succeed())
	g.Expect(*newer).To(Equal(nextEcho{Text: "text"}))
}
