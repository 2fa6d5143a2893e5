package wire

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sequoiaroad/sequoiaroad/standin/relay"
)

// maxReplacementTime is what remains of the 3 s within which a change must be in force on
// all hosts after two heartbeats (250 ms each), the lag that a host tolerates (300 ms) and
// one call for the missing rows (600 ms).
const maxReplacementTime = 1600 * time.Millisecond

// Guards against a connection between hosts that has become silent and is kept so long
// that rows of the store reach the other hosts of a group too late.
func TestSilentConnectionIsReplacedInTime(t *testing.T) {
	g := NewWithT(t)
	c := secretCredentials(t, "a secret of the fleet")
	address := startServer(t, c, func(s *Server) { s.Handle(TypeProbe, echoHandler) })
	link, err := relay.New(address)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(link.Close)
	client := startClient(t, c)
	call := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 600*time.Millisecond)
		defer cancel()
		return client.Call(ctx, link.Addr(), &echo{Text: "x"}, &echo{})
	}
	g.Expect(call()).To(Succeed())
	link.Silence()
	silentSince := time.Now()
	replied := make(chan time.Time, 16)
	for ticks := time.Tick(250 * time.Millisecond); ; {
		go func() {
			if call() == nil {
				replied <- time.Now()
			}
		}()
		select {
		case at := <-replied:
			g.Expect(at.Sub(silentSince)).To(BeNumerically("<", maxReplacementTime))
			return
		case <-ticks:
		}
	}
}
