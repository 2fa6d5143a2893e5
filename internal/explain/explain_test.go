package explain

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against lines of other requests, of hosts whose clocks differ in their order,
// and lines that are no JSON.
func TestRequestPrintsItsLinesInOrder(t *testing.T) {
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
