package balance

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sequoiaroad/sequoiaroad/policy/backpressure"
	"github.com/sequoiaroad/sequoiaroad/policy/topology"
)

// Guards against a target that asks for no request and is chosen because it has the parts
// of the prompt, is less loaded, or is the last one; plain services use paused targets as
// a last resort.
func TestTargetThatAsksForNoRequestIsNotChosen(t *testing.T) {
	g := NewWithT(t)
	for _, stated := range []backpressure.Statement{{Limited: true}, {RetryAfter: time.Second}, {Leaving: true}} {
		b, table := New("a", zones), backpressure.New("host-1")
		b.UseBackpressure(table)
		targets := []*topology.Target{engine("e1", "a", 1), engine("e2", "b", 1)}
		manual := prompt("manual", 12000)
		b.RecordCacheNotice(CacheNotice{Keys: manual.Keys(1), TargetID: "e1"}, now)
		table.Record(targets[0].Incarnation(), stated, now)
		g.Expect(b.Pick(manual, targets, nil, now).Target).To(Equal(targets[1]))
		g.Expect(b.PickPlain(targets, nil, 100, now)).To(Equal(targets[1]))
		table.Record(targets[1].Incarnation(), stated, now)
		g.Expect(b.Pick(manual, targets, nil, now).Target).To(BeNil())
		g.Expect(b.PickPlain(targets, nil, 100, now)).To(BeNil())
	}
}
