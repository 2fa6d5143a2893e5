package site

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	standin "github.com/sequoiaroad/sequoiaroad/standin/site"
)

const deadlyPart = "dead0001"

// deadlyPrompt returns a request with the part on which engines crash; it shares its
// account and its first part with promptRequest.
func deadlyPrompt(uri string) request {
	q := promptRequest(uri)
	q.header["X-Prefix-Hash"] = strings.Replace(q.header["X-Prefix-Hash"], ":1000,", ":1000,"+deadlyPart+":100,", 1)
	return q
}

// Guards against a part of prompts that crashes one engine after the other at all hosts,
// hosts that have seen no crash or start later among them, and against rejecting sound
// requests that share the account and other parts with it.
func TestPartThatCrashesEnginesIsRejectedEverywhere(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	var engines []*standin.Replica
	for i := range 6 {
		engine := f.startEngine(fmt.Sprintf("engine-%d", i), 2)
		engine.SetFaults(standin.ReplicaFaults{CrashPart: deadlyPart})
		engines = append(engines, engine)
	}
	runs := func() int {
		n := 0
		for _, engine := range engines {
			for _, run := range engine.Executions() {
				if strings.Contains(run.Header.Get("X-Prefix-Hash"), deadlyPart) {
					n++
				}
			}
		}
		return n
	}
	hosts := []*host{f.startHost("host-1"), f.startHost("host-2"), f.startHost("host-3")}
	for _, h := range hosts {
		f.g.Eventually(h.locate, "5s", "20ms").Should(HaveLen(3))
	}
	f.g.Eventually(func() int {
		return f.send(hosts[0], deadlyPrompt("/query/d")).status + f.send(hosts[1], deadlyPrompt("/brief/d")).status
	}, "5s", "20ms").Should(Equal(2 * http.StatusServiceUnavailable))
	f.g.Expect(runs()).To(BeNumerically("<=", 5))
	f.g.Eventually(func() int { return f.send(hosts[2], deadlyPrompt("/brief/d")).status }, "2s", "20ms").Should(Equal(http.StatusServiceUnavailable))
	f.g.Eventually(func() int { return len(f.store.Rows("sequoiaroad.quarantine")) }, "2s", "20ms").ShouldNot(BeZero())
	hosts = append(hosts, f.startHost("host-4"))
	before := runs()
	for _, h := range hosts {
		r := f.send(h, deadlyPrompt("/query/d"))
		f.g.Expect(r.status).To(Equal(http.StatusServiceUnavailable))
		f.g.Expect(r.header.Get("Retry-After")).NotTo(BeEmpty())
		f.g.Eventually(func() int { return f.send(h, promptRequest("/brief/1")).status }, "5s", "50ms").Should(Equal(http.StatusOK))
	}
	f.g.Expect(runs()).To(Equal(before))
}
