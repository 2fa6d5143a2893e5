package topology

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var now = time.Unix(1_700_000_000, 0)

// Guards against engines that count as too outdated because the store was down, while no
// host could roll out weights.
func TestStoreOutageDoesNotCountAsStaleness(t *testing.T) {
	g := NewWithT(t)
	at := func(seconds int) time.Time { return now.Add(time.Duration(seconds) * time.Second) }
	d := DesiredWeights{}.WithVersion(2, now)
	g.Expect(d.OutdatedFor(1, at(3))).To(Equal(3 * time.Second))
	d.StoreLostAt = at(4)
	g.Expect(d.OutdatedFor(1, at(3))).To(Equal(3 * time.Second))
	g.Expect(d.OutdatedFor(1, at(30))).To(Equal(4 * time.Second))
	d = d.WithVersion(3, at(10))
	g.Expect(d.OutdatedFor(2, at(30))).To(Equal(time.Nanosecond))
	d = d.AfterOutage(at(4), at(30))
	g.Expect(d.OutdatedFor(1, at(32))).To(Equal(6 * time.Second))
	g.Expect(d.OutdatedFor(2, at(32))).To(Equal(2 * time.Second))
	g.Expect(d.OutdatedFor(3, at(32))).To(BeZero())
}

// Guards against a version that counts as new at a host which received it late, and
// against one that is received again and loses its age.
func TestPublicationKeepsItsAge(t *testing.T) {
	g := NewWithT(t)
	at := func(seconds int) time.Time { return now.Add(time.Duration(seconds) * time.Second) }
	received := DesiredWeights{}.WithVersion(3, at(10))
	g.Expect(received.OutdatedFor(1, at(11))).To(Equal(time.Second))
	known := received.WithPublication(PublishedVersion{2, at(0)}).WithPublication(PublishedVersion{3, at(5)})
	g.Expect(known.Version).To(BeEquivalentTo(3))
	g.Expect(known.OutdatedFor(1, at(11))).To(Equal(11 * time.Second))
	g.Expect(known.OutdatedFor(2, at(11))).To(Equal(6 * time.Second))
	g.Expect(known.WithVersion(3, at(11)).OutdatedFor(2, at(11))).To(Equal(6 * time.Second))
	g.Expect(known.Shifted(4*time.Second).OutdatedFor(2, at(11))).To(Equal(10 * time.Second))
}
