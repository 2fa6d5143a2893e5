package wire

import (
	"context"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// listenWithFullQueue returns a listener that drops the packets of new connections, like a
// host without power, until drain is called.
func listenWithFullQueue(t *testing.T) (listener net.Listener, drain func()) {
	g := NewWithT(t)
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})).To(Succeed())
	g.Expect(syscall.Listen(fd, 0)).To(Succeed())
	file := os.NewFile(uintptr(fd), "listener")
	listener, err = net.FileListener(file)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(file.Close()).To(Succeed())
	t.Cleanup(func() { _ = listener.Close() })
	var queued []net.Conn
	for {
		conn, err := net.DialTimeout("tcp", listener.Addr().String(), 50*time.Millisecond)
		if err != nil {
			break
		}
		queued = append(queued, conn)
	}
	g.Expect(queued).NotTo(BeEmpty())
	return listener, func() {
		for _, conn := range queued {
			_ = conn.Close()
			accepted, err := listener.Accept()
			g.Expect(err).NotTo(HaveOccurred())
			_ = accepted.Close()
		}
	}
}

// forwardConnections forwards the connections of a listener to an address.
func forwardConnections(listener net.Listener, address string) {
	for {
		from, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = from.Close() }()
			to, err := net.Dial("tcp", address)
			if err != nil {
				return
			}
			defer func() { _ = to.Close() }()
			go func() { _, _ = io.Copy(to, from); _ = to.Close() }()
			_, _ = io.Copy(from, to)
		}()
	}
}

// Guards against hosts that start at slightly different times and don't reach each other
// for a second: the first packet to a host that is not up yet is lost, and TCP sends it
// again only then. Accounts exceed their limits meanwhile.
func TestHostThatStartsLaterIsReachedAtOnce(t *testing.T) {
	g := NewWithT(t)
	c := secretCredentials(t, "a secret of the fleet")
	address := startServer(t, c, func(s *Server) { s.Handle(TypeProbe, echoHandler) })
	listener, drain := listenWithFullQueue(t)
	client := startClient(t, c)
	call := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 250*time.Millisecond)
		defer cancel()
		return client.Call(ctx, listener.Addr().String(), &echo{Text: "x"}, &echo{})
	}
	g.Expect(call()).NotTo(Succeed())
	drain()
	go forwardConnections(listener, address)
	g.Eventually(call, 600*time.Millisecond, 50*time.Millisecond).Should(Succeed())
}
