package storeclock

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var now = time.Unix(1_700_000_000, 0)

// Guards against times that are wrong by the delay of a slow response or by a suspension
// of the machine.
func TestClockFollowsFastestResponse(t *testing.T) {
	g := NewWithT(t)
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	store := func(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }
	var c Clock
	g.Expect(c.Known()).To(BeFalse())
	c.Observe(store(5000), at(200))
	g.Expect(c.Known()).To(BeTrue())
	c.Observe(store(6000), at(1010))
	c.Observe(store(7000), at(3500))
	g.Expect(c.Store(at(1010))).To(Equal(store(6000)))
	g.Expect(c.Local(store(4000))).To(Equal(at(-990)))
	c.Observe(store(13000), at(4010))
	g.Expect(c.Local(store(13000))).To(Equal(at(4010)))
}
