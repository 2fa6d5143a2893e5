package fleet

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sequoiaroad/sequoiaroad/policy/config"
)

// Guards against starting hosts that collide without end or never become members.
func TestStartingHostsJoin(t *testing.T) {
	c := newCluster(t)
	c.startMany(5)
}

// Guards against a change that is reported in force while a live host lacks it, and
// against a change that takes longer than 3 s with all hosts reachable.
func TestChangeIsInForceOnAllHosts(t *testing.T) {
	c := newCluster(t)
	hosts := c.startMany(3)
	start := time.Now()
	report, err := hosts[1].fleet.Propose(testContext(t), setPreset(config.PresetPeak), ProposeOptions{Operator: "op"})
	c.g.Expect(err).NotTo(HaveOccurred())
	c.g.Expect(time.Since(start)).To(BeNumerically("<", 3*time.Second))
	c.g.Expect(report.Confirmed).To(ConsistOf("host-0", "host-1", "host-2"))
	for _, h := range hosts {
		c.g.Expect(h.fleet.Index().Document().Preset).To(Equal(config.PresetPeak))
	}
}
