package platform

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a transaction that applies writes although one of its conditions failed.
func TestFailedConditionAppliesNoWrites(t *testing.T) {
	g := NewWithT(t)
	s := New(Options{})
	version, conflict := s.tables.commit(Transaction{Writes: []Write{{Table: "t", Key: "a"}}})
	g.Expect(conflict).To(BeNil())
	_, conflict = s.tables.commit(Transaction{
		Conditions: []Condition{{"t", "a", version}, {"t", "b", 7}},
		Writes:     []Write{{Table: "t", Key: "a", Delete: true}, {Table: "t", Key: "b"}},
	})
	g.Expect(conflict).To(Equal(&Row{Table: "t", Key: "b"}))
	_, found := s.tables.get("t", "a")
	g.Expect(found).To(BeTrue())
	_, found = s.tables.get("t", "b")
	g.Expect(found).To(BeFalse())
}

// Guards against a host list that shows changes before its lag or never.
func TestHostListShowsChangesAfterLag(t *testing.T) {
	g := NewWithT(t)
	s := New(Options{HostListLag: 60 * time.Millisecond})
	s.SetHost(Host{ID: "h"})
	g.Expect(s.hosts.visibleHosts()).To(BeEmpty())
	g.Eventually(s.hosts.visibleHosts, "1s", "5ms").Should(ConsistOf(HaveField("State", "live")))
	s.SetHost(Host{ID: "h", State: "leaving"})
	g.Expect(s.hosts.visibleHosts()).To(ConsistOf(HaveField("State", "live")))
	g.Eventually(s.hosts.visibleHosts, "1s", "5ms").Should(ConsistOf(HaveField("State", "leaving")))
	s.RemoveHost("h")
	g.Eventually(s.hosts.visibleHosts, "1s", "5ms").Should(BeEmpty())
}

// Guards against faults, hosts or statistics that can't be accessed over HTTP during an
// outage.
func TestFaultsCanBeSetDuringOutage(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(New(Options{}))
	defer server.Close()
	send := func(method, path, body string) int {
		r, err := http.NewRequest(method, server.URL+path, strings.NewReader(body))
		g.Expect(err).NotTo(HaveOccurred())
		response, err := http.DefaultClient.Do(r)
		g.Expect(err).NotTo(HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		return response.StatusCode
	}
	g.Expect(send("PUT", "/v1/faults", `{"outage":"unavailable"}`)).To(Equal(200))
	g.Expect(send("GET", "/v1/hosts", "")).To(Equal(503))
	g.Expect(send("PUT", "/v1/hosts/h", `{"role":"target"}`)).To(Equal(200))
	g.Expect(send("GET", "/v1/stats", "")).To(Equal(200))
	g.Expect(send("PUT", "/v1/faults", `{}`)).To(Equal(200))
	g.Expect(send("GET", "/v1/hosts", "")).To(Equal(200))
}
