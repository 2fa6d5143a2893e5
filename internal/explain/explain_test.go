package explain

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against printing lines of other requests, lines out of time order when the logs
// of several hosts are joined, and lines that are not JSON.
func TestRequestPrintsMatchingLinesInTimeOrder(t *testing.T) {
	g := NewWithT(t)
	logs := `12.5 host-1 {"@timestamp":"2026-01-01T00:00:02Z","@module":"m","@message":"second","request":"r1","reason":"x"}
not json "r1"
{"@timestamp":"2026-01-01T00:00:01Z","@module":"m","@message":"first","request":"r1"}
{"@timestamp":"2026-01-01T00:00:03Z","@module":"m","@message":"other","request":"r2","after":"r1"}
`
	var out strings.Builder
	n, err := Request("r1", strings.NewReader(logs), &out)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(n).To(Equal(2))
	g.Expect(out.String()).To(Equal("2026-01-01T00:00:01Z m: first\n2026-01-01T00:00:02Z m: second\n    reason = x\n"))
}
