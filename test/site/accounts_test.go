package site

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	standin "github.com/sequoiaroad/sequoiaroad/standin/site"
)

// Guards against keys that work once the operator has removed the last client account, and
// against ones that no configuration ever had: at hosts that read the configuration from the
// store or from another host, that start later, and after the store was restored.
func TestNoKeyWorksOnceTheLastAccountIsRemoved(t *testing.T) {
	t.Parallel()
	for name, nobody := range map[string]any{"empty": []any{}, "null": nil, "account without keys": []any{object{"name": "club"}}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			desk := f.startDesk("desk-1")
			statusOf := func(h *host, uri, key string) int {
				return f.send(h, request{method: "GET", uri: uri, key: key}).status
			}
			hosts := []*host{f.startHost("host-1"), f.startHost("host-2")}
			for _, h := range hosts {
				f.g.Eventually(h.locate, "5s", "20ms").Should(HaveLen(2))
				f.g.Expect(statusOf(h, "/status/1", clubKey)).To(Equal(http.StatusOK))
			}
			hosts[1].store.unavailable.Store(true)
			before := time.Now()
			time.Sleep(100 * time.Millisecond)
			f.updateConfig(func(c object) { c["tenants"] = nobody })
			refusesAll := func(h *host) func() bool {
				return func() bool {
					return statusOf(h, "/status/1", clubKey) == http.StatusUnauthorized && statusOf(h, "/status/1", "key-that-never-was") == http.StatusUnauthorized &&
						statusOf(h, "/status/1", "") == http.StatusUnauthorized
				}
			}
			for _, h := range hosts {
				f.g.Eventually(refusesAll(h), standin.ConfigDeadline, "20ms").Should(BeTrue())
			}
			hosts[1].store.unavailable.Store(false)
			hosts = append(hosts, f.startHost("host-3"))
			f.store.Restore(before)
			time.Sleep(time.Second)
			runs := len(desk.Executions())
			for _, h := range hosts {
				f.g.Expect(refusesAll(h)()).To(BeTrue())
			}
			f.g.Expect(desk.Executions()).To(HaveLen(runs))
			f.g.Eventually(func() int { return statusOf(hosts[0], "/open/1", "") }, "3s", "20ms").Should(Equal(http.StatusOK), "the route is open to all")
		})
	}
}
