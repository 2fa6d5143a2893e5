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
	// Zone is the host's; Zones are all of the installation, which has one region.
	Zone  string
	Zones []string
	// Seeds are inner addresses of hosts, StoreAddress that of the store.
	Seeds        []string
	StoreAddress string
	// RetryBudgetSlack is the number of repeats allowed beyond the share of the requests.
	RetryBudgetSlack int
}

const (
	// RetryBudgetRatio is the share of the requests that may be repeated.
	RetryBudgetRatio = 0.2
	// StopGrace is how long a planned stop may take.
	StopGrace = 8 * time.Second
)

// Ports of a host's addresses, on an address of its own.
const (
	callerPort  = 9001
	readyPort   = 9002
	locatorPort = 9003
	innerPort   = 9005
)

func (s *HostSettings) at(port int) string { return fmt.Sprintf("%s:%d", s.IP, port) }

// CallerAddress returns the address for callers.
func (s *HostSettings) CallerAddress() string { return s.at(callerPort) }

// ReadyAddress returns the address of the health check.
func (s *HostSettings) ReadyAddress() string { return s.at(readyPort) }

// LocatorAddress returns the address at which callers ask for hosts.
func (s *HostSettings) LocatorAddress() string { return s.at(locatorPort) }

// InnerAddress returns the address for other hosts.
func (s *HostSettings) InnerAddress() string { return s.at(innerPort) }

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
			"drain_ms": 2500, "grace_s": StopGrace.Seconds(), "contact_ms": 3000, "retry_budget_ratio": RetryBudgetRatio, "budget_window_s": 10,
			"budget_slack": s.RetryBudgetSlack, "quota_window_s": 8, "quota_slack": 1000, "lease_ms": 1000, "require_fence": true,
			"ttl_max_s": 5, "version_ms": 8000,
		},
		"platform": map[string]string{"address": s.StoreAddress},
	})
	if err != nil {
		return err
	}
	return os.WriteFile(path, data, 0o600)
}

// lastHost numbers the hosts of this process.
var lastHost atomic.Int64

// NewHostIP returns a loopback address of its own for each host. Its ports are free:
// connections go out from 127.0.0.1, and could take a port there before the host does.
func NewHostIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 100+pid%100, 1+pid/100%250, 1+lastHost.Add(1)%250)
}

// StreamBody returns the answer of an engine that sends so many events.
func StreamBody(events int) string {
	var b strings.Builder
	for i := 1; i <= events; i++ {
		b.WriteString(eventText(i))
	}
	return b.String()
}

func eventText(i int) string { return fmt.Sprintf("id: %d\ndata: token %d\n\n", i, i) }
