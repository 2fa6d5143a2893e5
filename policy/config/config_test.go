package config

import (
	"testing"

	. "github.com/onsi/gomega"
)

func baseDocument() *Document {
	return &Document{
		Revision: 7,
		Accounts: []Account{{ID: "club", RateTokensPerSecond: 100, BurstTokens: 200}},
		ClientKeys: []ClientKey{
			{ID: "k1", AccountID: "club", Hash: HashKey("one")},
			{ID: "k2", AccountID: "club", Hash: HashKey("two")},
		},
	}
}

// Guards against a change that does more than withdraw keys being enforced
// before it is accepted.
func TestOnlyPureWithdrawalsAreMarked(t *testing.T) {
	g := NewWithT(t)
	withdraw := func(d *Document) error { d.ClientKeys = d.ClientKeys[:1]; return nil }
	next, err := baseDocument().Next(withdraw, ChangeRecord{})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(next.Revision).To(Equal(uint64(8)))
	g.Expect(next.Change.WithdrawnKeyIDs).To(Equal([]string{"k2"}))
	g.Expect(next.Change.OnlyWithdrawals).To(BeTrue())

	mixed := func(d *Document) error { d.Preset = PresetPeak; return withdraw(d) }
	next, err = baseDocument().Next(mixed, ChangeRecord{})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(next.Change.OnlyWithdrawals).To(BeFalse())
	g.Expect(next.Change.WithdrawnKeyIDs).To(Equal([]string{"k2"}))
}

// Guards against validation that stops at the first fault.
func TestValidateListsAllFaults(t *testing.T) {
	g := NewWithT(t)
	d := baseDocument()
	d.Preset = "holiday"
	d.Accounts[0].BurstTokens = 0
	d.ClientKeys[0].AccountID = "nobody"
	d.Targets = []Target{{ID: "e1", Kind: TargetEngine, URL: "http://engine.example:80", Models: []string{"m"}}}
	var invalid *ValidationError
	g.Expect(d.Validate()).To(BeAssignableToTypeOf(invalid))
	g.Expect(d.Validate().(*ValidationError).Faults).To(HaveLen(5))
}

// Guards against a route that matches part of a path segment.
func TestRouteMatchesWholeSegments(t *testing.T) {
	g := NewWithT(t)
	d := baseDocument()
	d.Routes = []Route{
		{Service: "booking", PathPrefix: "/run", Idempotent: true},
		{Service: "booking", PathPrefix: "/runs/", Method: "GET", Open: true},
	}
	x := NewIndex(d)
	g.Expect(x.Route("booking", "GET", "/runs").Open).To(BeTrue())
	g.Expect(x.Route("booking", "POST", "/runs").Idempotent).To(BeFalse())
	g.Expect(x.Route("booking", "POST", "/run/1").Idempotent).To(BeTrue())
	g.Expect(x.ClientKey("one").ID).To(Equal("k1"))
	g.Expect(x.ClientKey("three")).To(BeNil())
}

// Guards against a revision with a wrong MembersRevision: a host that skips revisions
// would miss a change of the member list.
func TestNextSetsMembersRevision(t *testing.T) {
	g := NewWithT(t)
	d := baseDocument()
	same, err := d.Next(func(d *Document) error { d.Preset = PresetPeak; return nil }, ChangeRecord{})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(same.MembersRevision).To(Equal(uint64(7)))
	joined, err := same.Next(func(d *Document) error {
		d.MembersRevision = 1
		d.Members = append(d.Members, Member{HostID: "h", Incarnation: "1", InnerAddress: "127.0.0.1:1"})
		return nil
	}, ChangeRecord{})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(joined.MembersRevision).To(Equal(uint64(9)))
	last, err := joined.Next(func(*Document) error { return nil }, ChangeRecord{})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(last.MembersRevision).To(Equal(uint64(9)))
}
