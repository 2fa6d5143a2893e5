package site

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"sync/atomic"
	"time"
)

// HostSettings is the part of a host's settings file that differs between hosts.
type HostSettings struct {
	ID, IP string
	// Zone is the host's zone; Zones are all zones of the deployment, which has one region.
	Zone  string
	Zones []string
	// Seeds are the inner addresses of other hosts to contact first; StoreAddress is the
	// address of the store.
	Seeds        []string
	StoreAddress string
	// RetryBudgetSlack is the number of retries allowed in addition to RetryBudgetRatio.
	RetryBudgetSlack int
}

const (
	// RetryBudgetRatio is the allowed ratio of retries to requests.
	RetryBudgetRatio = 0.2
	// StopGrace is the time between SIGTERM and SIGKILL.
	StopGrace = 8 * time.Second
	// ContactTime is how long a host and the store must have run without a fault before
	// bounds of time hold again.
	ContactTime = 3 * time.Second
	// DrainBound is the time after which a leaving target must receive no requests.
	DrainBound = 2500 * time.Millisecond
	// ConfigDeadline is the time within which an acknowledged configuration must be in
	// force.
	ConfigDeadline = 2500 * time.Millisecond
	// MaxWeightsStaleness is the time within which published weights must be loaded.
	MaxWeightsStaleness = 8 * time.Second
)

// The ports of each host, which has an IP address of its own.
const (
	callerPort  = 9001
	readyPort   = 9002
	locatorPort = 9003
	innerPort   = 9005
)

func (s *HostSettings) address(port int) string { return fmt.Sprintf("%s:%d", s.IP, port) }

// CallerAddress returns the address that serves callers.
func (s *HostSettings) CallerAddress() string { return s.address(callerPort) }

// ReadyAddress returns the address of the readiness check.
func (s *HostSettings) ReadyAddress() string { return s.address(readyPort) }

// LocatorAddress returns the address at which callers look up hosts.
func (s *HostSettings) LocatorAddress() string { return s.address(locatorPort) }

// InnerAddress returns the address that serves other hosts.
func (s *HostSettings) InnerAddress() string { return s.address(innerPort) }

// Write writes the settings file in the platform's format.
func (s *HostSettings) Write(path string) error {
	zones := map[string]string{}
	for _, z := range s.Zones {
		zones[z] = "north"
	}
	data, err := json.Marshal(map[string]any{
		"node_name": s.ID, "zone": s.Zone, "region": "north", "zones": zones,
		"listen_addrs": map[string]string{"front": s.CallerAddress(), "ready": s.ReadyAddress(), "control": s.InnerAddress(), "directory": s.LocatorAddress()},
		"seeds":        s.Seeds, "limits": map[string]int{"memory_mb": 200, "max_fds": 4100},
		"bounds": map[string]any{
			"drain_ms": DrainBound.Milliseconds(), "grace_s": StopGrace.Seconds(), "contact_ms": ContactTime.Milliseconds(), "config_deadline_ms": ConfigDeadline.Milliseconds(), "retry_budget_ratio": RetryBudgetRatio, "budget_window_s": 10,
			"budget_slack": s.RetryBudgetSlack, "quota_window_s": 8, "quota_slack": 1000, "lease_ms": 1000, "require_fence": true,
			"ttl_max_s": 5, "version_ms": MaxWeightsStaleness.Milliseconds(),
		},
		"platform": map[string]string{"address": s.StoreAddress},
	})
	if err != nil {
		return err
	}
	return os.WriteFile(path, data, 0o600)
}

// hostCount numbers the hosts of this process.
var hostCount atomic.Int64

// NewHostIP returns a loopback address for a new host. Outgoing connections use ephemeral
// ports of 127.0.0.1, which could occupy a host's port there; the ports of the returned
// address are free.
func NewHostIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 100+pid%100, 1+pid/100%250, 1+hostCount.Add(1)%250)
}

// StreamBody returns the response body of a stream with this many events.
func StreamBody(events int) string {
	var b strings.Builder
	for i := 1; i <= events; i++ {
		b.WriteString(formatEvent(i))
	}
	return b.String()
}

func formatEvent(i int) string { return fmt.Sprintf("id: %d\ndata: token %d\n\n", i, i) }
