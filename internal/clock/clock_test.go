package clock

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a wait that goes on after its context has ended.
func TestSleepEndsWithItsContext(t *testing.T) {
	g := NewWithT(t)
	g.Expect(Sleep(context.Background(), time.Millisecond)).To(BeTrue())
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	g.Expect(Sleep(ctx, time.Hour)).To(BeFalse())
}
