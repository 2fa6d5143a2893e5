package host

import (
	"context"
	"time"

	"github.com/sequoiaroad/sequoiaroad/internal/platform"
)

// hostListInterval is how often the host list is read for leaving targets. Together with
// the delay of the list itself, a leaving target gets no new work after a few seconds.
const hostListInterval = time.Second

const targetRole = "target"

// watchLeavingTargets periodically reports to the dispatcher which targets the host list
// shows as leaving, and the number of live hosts in the region. While the list can't be
// read, the last one that was read applies.
func (h *Host) watchLeavingTargets(ctx context.Context) error {
	ticker := time.NewTicker(hostListInterval)
	defer ticker.Stop()
	for {
		h.updateLeavingTargets(ctx)
		h.dispatcher.ObserveLiveHosts(h.liveHostsInRegion())
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// liveHostsInRegion counts the live hosts in the region, including this one. They share
// the link to other regions.
func (h *Host) liveHostsInRegion() int {
	live := 1
	for _, status := range h.fleet.Hosts() {
		if status.Live && status.Member.Region == h.self.Region && status.Member.HostID != h.self.HostID {
			live++
		}
	}
	return live
}

func (h *Host) updateLeavingTargets(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, hostListInterval)
	defer cancel()
	hosts, err := h.options.Platform.HostList.Hosts(ctx)
	if err != nil {
		h.logger.Debug("failed to read host list", "error", err)
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
