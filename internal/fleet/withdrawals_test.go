package fleet

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sequoiaroad/sequoiaroad/policy/config"
)

// Guards against a withdrawal that is lost because an earlier key had the same ID,
// against one that a concurrent revision reverts, and against a new key under a used ID
// that stays withdrawn.
func TestWithdrawalAppliesToKeyNotID(t *testing.T) {
	g := NewWithT(t)
	document := func(revision uint64, key string) *config.Document {
		d := &config.Document{Revision: revision}
		if key != "" {
			d.ClientKeys = []config.ClientKey{{ID: "k", Hash: config.HashKey(key)}}
		}
		return d
	}
	l := newWithdrawalLog()
	withdrawn := func() bool { _, ok := (*l.withdrawnSet())["k"]; return ok }
	record := func(key string, revision uint64, current *config.Document) {
		_, ok := l.record([]withdrawnKey{{KeyID: "k", Hash: config.HashKey(key), Revision: revision}}, current, time.Unix(1, 0))
		g.Expect(ok).To(BeTrue())
	}
	one, concurrent, removed, two := document(1, "one"), document(2, "one"), document(3, ""), document(4, "two")
	record("one", 2, one)
	l.applyRevision(one, concurrent)
	g.Expect(withdrawn()).To(BeTrue(), "a concurrent revision still contains the key")
	record("two", 5, concurrent)
	l.applyRevision(concurrent, removed)
	g.Expect(withdrawn()).To(BeTrue())
	l.applyRevision(removed, two)
	g.Expect(withdrawn()).To(BeTrue(), "the withdrawal of the second key arrived before the key")
	l.applyRevision(two, document(5, "three"))
	g.Expect(withdrawn()).To(BeFalse(), "the third key is new")
	record("one", 2, document(5, "three"))
	g.Expect(withdrawn()).To(BeFalse(), "a late withdrawal of the first key")
}
