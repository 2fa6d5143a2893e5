package host_test

import (
	"context"
	"os"
	"regexp"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a docs/OPERATIONS.md that omits a metric, lists one that a host does not
// export, or states another type.
func TestOperationsPageListsEachMetric(t *testing.T) {
	g := NewWithT(t)
	o := startObservedSystem(t)
	o.complete(g, "hello")
	ctx := context.Background()
	// These metrics are exported only after their first event.
	o.telemetry.RequestMetrics.RecordRefusal(ctx, "rate_limited", "not_run")
	o.telemetry.RequestMetrics.RecordRefusalWithinRate(ctx, "dev")
	o.telemetry.RequestMetrics.RecordRetry(ctx, "engine-a", "stalled")
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	g.Expect(err).NotTo(HaveOccurred())
	var documented []string
	for _, match := range regexp.MustCompile("(?m)^\\| `(\\w+_\\w+)` \\| (\\w+) \\|").FindAllStringSubmatch(string(page), -1) {
		documented = append(documented, match[1]+" "+match[2])
	}
	var exported []string
	for _, match := range regexp.MustCompile(`(?m)^# TYPE (\w+) (\w+)`).FindAllStringSubmatch(o.metrics(), -1) {
		exported = append(exported, match[1]+" "+match[2])
	}
	slices.Sort(documented)
	slices.Sort(exported)
	g.Expect(exported).NotTo(BeEmpty())
	g.Expect(documented).To(Equal(exported))
}
