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

// Guards against failed requests whose cause can't be found in the log by request id: a
// refused key, an interrupted stream, and a target that closes the connection without a
// response. The log must contain neither keys nor prompts.
func TestLogExplainsFailedRequests(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.startDesk("desk-1")
	engine := f.startEngine("engine-1", 6)
	h := f.startHost("host-1")
	explanation := func(id string) string {
		var out strings.Builder
		n, err := explain.Request(id, strings.NewReader(h.log.String()), &out)
		f.g.Expect(err).NotTo(HaveOccurred())
		f.g.Expect(n).To(BeNumerically(">", 0))
		return out.String()
	}
	refused := f.send(h, request{method: "GET", uri: "/status/1", key: "no-such-key"})
	f.g.Expect(refused.status).To(Equal(http.StatusUnauthorized))
	f.g.Expect(explanation(refused.id)).To(And(
		ContainSubstring("request refused"), ContainSubstring("reason = the key is unknown"),
		ContainSubstring("config = 1"), ContainSubstring("proven_not_run = true")))
	engine.SetFaults(standin.ReplicaFaults{DropAfterEvents: 2})
	interrupted := f.send(h, promptRequest("/brief/1"))
	f.g.Expect(interrupted.err).To(HaveOccurred())
	f.g.Expect(explanation(interrupted.id)).To(And(
		ContainSubstring("target chosen"), ContainSubstring("target = engine-1"), ContainSubstring("weights = 1"),
		ContainSubstring("stream broke off"), ContainSubstring("reason = the target's stream broke off")))
	engine.SetFaults(standin.ReplicaFaults{LoseResponse: true})
	lost := f.send(h, promptRequest("/brief/1"))
	f.g.Expect(lost.status).To(Equal(http.StatusBadGateway))
	f.g.Expect(explanation(lost.id)).To(And(ContainSubstring("reason = target did not answer"), ContainSubstring("proven_not_run = false")))
	for _, secret := range []string{clubKey, schoolKey, "no-such-key", "prompt body"} {
		f.g.Expect(h.log.String()).NotTo(ContainSubstring(secret))
	}
}

// Guards against docs/OPERATIONS.md naming metrics that a host does not export.
func TestDocumentedMetricsExist(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.startDesk("desk-1")
	f.startEngine("engine-1", 2)
	h := f.startHost("host-1")
	f.send(h, promptRequest("/brief/1"))
	f.send(h, request{method: "GET", uri: "/nothing/"})
	resp, err := http.Get("http://" + h.metricsAddress + "/metrics")
	f.g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	f.g.Expect(err).NotTo(HaveOccurred())
	documentation, err := os.ReadFile("../../docs/OPERATIONS.md")
	f.g.Expect(err).NotTo(HaveOccurred())
	names := regexp.MustCompile(`sequoiaroad_forward_[a-z_]+`).FindAllString(string(documentation), -1)
	f.g.Expect(names).NotTo(BeEmpty())
	for _, name := range names {
		f.g.Expect(string(body)).To(ContainSubstring(name))
	}
}
