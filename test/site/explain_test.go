package site

import (
	"io"
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/sequoiaroad/sequoiaroad/internal/explain"
	standin "github.com/sequoiaroad/sequoiaroad/standin/site"
)

// Guards against failed requests whose cause can't be found by their id: refused with a
// withdrawn key, cut midway, and answered with a failure after a lost answer. Neither
// keys nor prompts may be in the log.
func TestLogExplainsFailedRequests(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	s.desk("desk-1")
	engine := s.engine("engine-1", 6)
	h := s.host("host-1")
	story := func(id string) string {
		var out strings.Builder
		n, err := explain.Request(id, strings.NewReader(h.log.String()), &out)
		s.g.Expect(err).NotTo(HaveOccurred())
		s.g.Expect(n).To(BeNumerically(">", 0))
		return out.String()
	}
	refused := s.send(h, request{method: "GET", uri: "/status/1", key: "no-such-key"})
	s.g.Expect(refused.status).To(Equal(http.StatusUnauthorized))
	s.g.Expect(story(refused.id)).To(And(
		ContainSubstring("request refused"), ContainSubstring("reason = the key is unknown"),
		ContainSubstring("config = 1"), ContainSubstring("proven_not_run = true")))
	engine.SetFaults(standin.ReplicaFaults{DropAfterEvents: 2})
	cut := s.send(h, prompt("/brief/1"))
	s.g.Expect(cut.err).To(HaveOccurred())
	s.g.Expect(story(cut.id)).To(And(
		ContainSubstring("target chosen"), ContainSubstring("target = engine-1"), ContainSubstring("weights = 1"),
		ContainSubstring("stream broke off"), ContainSubstring("reason = the target's stream broke off")))
	engine.SetFaults(standin.ReplicaFaults{LoseResponse: true})
	lost := s.send(h, prompt("/brief/1"))
	s.g.Expect(lost.status).To(Equal(http.StatusBadGateway))
	s.g.Expect(story(lost.id)).To(And(ContainSubstring("reason = target did not answer"), ContainSubstring("proven_not_run = false")))
	for _, secret := range []string{clubKey, schoolKey, "no-such-key", "prompt body"} {
		s.g.Expect(h.log.String()).NotTo(ContainSubstring(secret))
	}
}

// Guards against docs/OPERATIONS.md naming metrics that a host does not have.
func TestOperationsPageNamesMetrics(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	s.desk("desk-1")
	s.engine("engine-1", 2)
	h := s.host("host-1")
	s.send(h, prompt("/brief/1"))
	s.send(h, request{method: "GET", uri: "/nothing/"})
	resp, err := http.Get("http://" + h.metrics + "/metrics")
	s.g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	s.g.Expect(err).NotTo(HaveOccurred())
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	s.g.Expect(err).NotTo(HaveOccurred())
	names := regexp.MustCompile(`sequoiaroad_forward_[a-z_]+`).FindAllString(string(page), -1)
	s.g.Expect(names).NotTo(BeEmpty())
	for _, name := range names {
		s.g.Expect(string(body)).To(ContainSubstring(name))
	}
}
