package clock

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a sleep that continues after its context has ended.
func TestSleepReturnsWhenContextEnds(t *testing.T) {
	g := NewWithT(t)
	g.Expect(Sleep(context.Background(), time.Millisecond)).To(BeTrue())
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	g.Expect(Sleep(ctx, time.Hour)).To(BeFalse())
}

// Guards against a periodic task that stops early or outlives its context.
func TestEveryReturnsWhenContextEnds(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	calls := 0
	Every(ctx, time.Millisecond, func() {
		if calls++; calls == 3 {
			cancel()
		}
	})
	g.Expect(calls).To(BeNumerically(">=", 3))
}
