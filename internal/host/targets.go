package host

import (
	"context"
	"time"

	"github.com/sequoiaroad/sequoiaroad/internal/platform"
)

// listInterval is how often the host list is read for leaving targets. With the
// list's own lag, a leaving target gets no new work after a few seconds.
const listInterval = time.Second

const targetRole = "target"

// watchLeavingTargets passes on which targets the host list shows as leaving. While
// the list can't be read, the last list read applies.
func (h *Host) watchLeavingTargets(ctx context.Context) error {
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	for {
		h.readLeavingTargets(ctx)
		h.dispatcher.ObserveLiveHosts(h.liveHostsInRegion())
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// liveHostsInRegion counts the hosts that share this host's link to other regions,
// itself included.
func (h *Host) liveHostsInRegion() int {
	live := 1
	for _, status := range h.fleet.Hosts() {
		if status.Live && status.Member.Region == h.self.Region && status.Member.HostID != h.self.HostID {
			live++
		}
	}
	return live
}

func (h *Host) readLeavingTargets(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listInterval)
	defer cancel()
	hosts, err := h.options.Platform.HostList.Hosts(ctx)
	if err != nil {
		h.logger.Debug("host list can't be read", "error", err)
		return
	}
	var leaving []string
	for _, listed := range hosts {
		if listed.Role == targetRole && listed.State == platform.HostLeaving {
			leaving = append(leaving, listed.ID)
		}
	}
	h.dispatcher.ObserveLeaving(leaving)
}
