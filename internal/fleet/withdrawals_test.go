package fleet

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sequoiaroad/sequoiaroad/policy/config"
)

// Guards against a withdrawal that is lost because an earlier key had the same id,
// against one that a racing revision undoes, and against a new key under an old id
// that stays withdrawn.
func TestWithdrawalsFollowTheKeyNotItsID(t *testing.T) {
	g := NewWithT(t)
	document := func(revision uint64, key string) *config.Document {
		d := &config.Document{Revision: revision}
		if key != "" {
			d.ClientKeys = []config.ClientKey{{ID: "k", Hash: config.HashKey(key)}}
		}
		return d
	}
	l := newWithdrawalLog()
	withdrawn := func() bool { _, ok := (*l.set())["k"]; return ok }
	hear := func(key string, revision uint64, current *config.Document) {
		_, ok := l.hear([]withdrawnKey{{KeyID: "k", Hash: config.HashKey(key), Revision: revision}}, current, time.Unix(1, 0))
		g.Expect(ok).To(BeTrue())
	}
	one, racing, gone, two := document(1, "one"), document(2, "one"), document(3, ""), document(4, "two")
	hear("one", 2, one)
	l.applied(one, racing)
	g.Expect(withdrawn()).To(BeTrue(), "a racing revision still holds the key")
	hear("two", 5, racing)
	l.applied(racing, gone)
	g.Expect(withdrawn()).To(BeTrue())
	l.applied(gone, two)
	g.Expect(withdrawn()).To(BeTrue(), "the withdrawal of the second key was heard early")
	l.applied(two, document(5, "three"))
	g.Expect(withdrawn()).To(BeFalse(), "the third key is new")
	hear("one", 2, document(5, "three"))
	g.Expect(withdrawn()).To(BeFalse(), "a late message about the first key")
}
