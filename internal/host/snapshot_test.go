package host

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/sequoiaroad/sequoiaroad/internal/fleet"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
)

// Guards against snapshots that become rare because dead hosts or hosts of another zone
// are counted, and against a host that never writes because it does not count itself.
func TestCountLiveHostsOfZone(t *testing.T) {
	g := NewWithT(t)
	self := config.Member{HostID: "h1", Zone: "a"}
	status := func(id, zone string, live bool) fleet.HostStatus {
		return fleet.HostStatus{Member: config.Member{HostID: id, Zone: zone}, Live: live}
	}
	g.Expect(countLiveInZone(nil, self)).To(Equal(1))
	g.Expect(countLiveInZone([]fleet.HostStatus{
		status("h1", "a", true), status("h2", "a", true), status("h3", "a", false), status("h4", "b", true),
	}, self)).To(Equal(2))
}
