package host

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sequoiaroad/sequoiaroad/internal/idempotency"
	"github.com/sequoiaroad/sequoiaroad/internal/settings"
	standinplatform "github.com/sequoiaroad/sequoiaroad/standin/platform"
)

// Guards against a planned stop that loses the outcome of a booking because the store was
// unavailable when it completed. An operator would then have to resolve a booking that
// was executed.
func TestPlannedStopRecordsOutcomes(t *testing.T) {
	g := NewWithT(t)
	h, store := startHost(t, func(*settings.Host) {})
	key := idempotency.Key{AccountID: "a", Service: "booking", IdempotencyKey: "one", Fingerprint: "f"}
	claim, _, err := h.claims.Begin(context.Background(), key)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(claim.AllowSend(time.Now().Add(time.Minute))).To(Succeed())
	store.SetFaults(standinplatform.Faults{Outage: standinplatform.OutageUnavailable})
	claim.Complete(context.Background(), idempotency.Response{Status: 201})
	g.Expect(h.claims.Stats().WaitingRecords).To(BeEquivalentTo(1))
	time.AfterFunc(300*time.Millisecond, func() { store.SetFaults(standinplatform.Faults{}) })
	h.recordOutcomes(context.Background())
	g.Expect(h.claims.Stats()).To(Equal(idempotency.Stats{}))
	_, response, err := h.claims.Begin(context.Background(), key)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.Status).To(Equal(201))
}
