package fleet

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sequoiaroad/sequoiaroad/policy/config"
)

const (
	scaleSampleWindow = 10 * time.Second
	scaleTimeout      = 90 * time.Second
)

// TestScale measures the cost of control traffic for the fleet sizes in FLEET_SCALE, for
// example FLEET_SCALE=9,35,70. It guards against hosts that never discover each other or
// that still report a dead host as live.
func TestScale(t *testing.T) {
	if os.Getenv("FLEET_SCALE") == "" {
		t.Skip("FLEET_SCALE is not set")
	}
	for _, field := range strings.Split(os.Getenv("FLEET_SCALE"), ",") {
		n, err := strconv.Atoi(field)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(field, func(t *testing.T) { measureScale(t, n) })
	}
}

func measureScale(t *testing.T, n int) {
	c := newCluster(t)
	hosts := make([]*host, n)
	for i := range hosts {
		hosts[i] = c.start(fmt.Sprintf("host-%03d", i), "")
	}
	c.awaitLive(hosts, n)
	time.Sleep(2 * time.Second)

	before, cpu, reads := c.trafficBytes(hosts), cpuTime(t), c.store.readCount()
	start := time.Now()
	oldest := oldestEvidence(hosts, scaleSampleWindow)
	elapsed := time.Since(start).Seconds()
	cpuSeconds := (cpuTime(t) - cpu).Seconds()
	readRate := float64(c.store.readCount()-reads) / elapsed
	var total, peak float64
	for i, after := range c.trafficBytes(hosts) {
		rate := float64(after-before[i]) / elapsed
		total, peak = total+rate, max(peak, rate)
	}
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)

	start = time.Now()
	_, _ = hosts[0].fleet.Propose(testContext(t), withdrawKey("k2"), ProposeOptions{})
	withdrawalTime := time.Since(start)
	c.g.Eventually(func() bool { return all(hosts, func(h *host) bool { return h.fleet.Withdrawn("k2") }) },
		scaleTimeout, 5*time.Millisecond).Should(BeTrue())

	hosts[n-1].stop()
	start = time.Now()
	c.awaitLive(hosts[:n-1], n-1)
	failureDetection := time.Since(start)

	revision := hosts[0].fleet.Index().Document().Revision
	for _, h := range hosts {
		h.stop()
	}
	start = time.Now()
	for i, h := range hosts {
		hosts[i] = c.start(h.fleet.Self().HostID, h.address)
	}
	c.awaitLive(hosts, n)
	c.awaitMembers(hosts, min(n, MaxMembers))
	t.Logf("hosts %d: %.0f B/s per host, %.0f B/s at the busiest (sent and received), CPU %.4f s/s per host, heap %.2f MB per host, "+
		"%.1f store reads/s, oldest evidence %v, withdrawal on all hosts %v, failure detection on all hosts %v, restart of all hosts %v with %d revisions",
		n, total/float64(n), peak, cpuSeconds/elapsed/float64(n), float64(memory.HeapAlloc)/float64(n)/1e6, readRate, oldest.Round(time.Millisecond),
		withdrawalTime.Round(time.Millisecond), failureDetection.Round(time.Millisecond), time.Since(start).Round(time.Millisecond),
		hosts[0].fleet.Index().Document().Revision-revision)
}

// oldestEvidence samples the hosts for the given time and returns the greatest evidence
// age.
func oldestEvidence(hosts []*host, window time.Duration) time.Duration {
	oldest := time.Duration(0)
	for end := time.Now().Add(window); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, h := range hosts {
			oldest = max(oldest, DefaultFreshnessDeadline-time.Until(h.fleet.FreshUntil()))
		}
	}
	return oldest
}

// all reports whether the predicate holds for all hosts.
func all(hosts []*host, predicate func(*host) bool) bool {
	for _, h := range hosts {
		if !predicate(h) {
			return false
		}
	}
	return true
}

// awaitLive waits until each host is fresh and reports exactly n live hosts, all fresh.
func (c *cluster) awaitLive(hosts []*host, n int) {
	c.t.Helper()
	c.g.Eventually(func() bool {
		return all(hosts, func(h *host) bool { return h.fleet.Fresh() && countLiveFresh(h) == n })
	}, scaleTimeout, 20*time.Millisecond).Should(BeTrue())
}

// countLiveFresh returns the number of live hosts that h reports; -1 if one of them is
// not fresh.
func countLiveFresh(h *host) int {
	live := 0
	for _, s := range h.fleet.Hosts() {
		if s.Live && s.Fresh {
			live++
		} else if s.Live {
			return -1
		}
	}
	return live
}

// awaitMembers waits until the applied revision of each host lists exactly n of the
// running incarnations.
func (c *cluster) awaitMembers(hosts []*host, n int) {
	c.t.Helper()
	running := map[config.Member]bool{}
	for _, h := range hosts {
		running[h.fleet.Self()] = true
	}
	c.g.Eventually(func() bool {
		return all(hosts, func(h *host) bool {
			listed := 0
			for _, m := range h.fleet.Index().Document().Members {
				if running[m] {
					listed++
				}
			}
			return listed == n
		})
	}, scaleTimeout, 20*time.Millisecond).Should(BeTrue())
}

// trafficBytes returns the bytes that each host has sent and received.
func (c *cluster) trafficBytes(hosts []*host) []uint64 {
	bytes := make([]uint64, len(hosts))
	for i, h := range hosts {
		bytes[i] = h.traffic.Sent() + h.traffic.Received()
	}
	return bytes
}
