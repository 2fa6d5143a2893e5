package site

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const testModel = "m"

// startEngine starts an engine and publishes version 2 of its weights.
func startEngine(t *testing.T, g Gomega) (*Replica, string) {
	store := NewStore()
	r := NewReplica(ReplicaOptions{ID: "e", Service: "engines", Model: testModel, StreamEvents: 10, EventInterval: 20 * time.Millisecond, LoadTime: 200 * time.Millisecond})
	address, stop, err := Serve(r)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(stop)
	g.Expect(r.Register(store, address, "ready")).To(Succeed())
	store.Put("op", "version/"+testModel, []byte(`{"model":"m","version":2}`))
	return r, "http://" + address
}

func sendOrder(g Gomega, url, operation string, version, fencingToken int) int {
	body := fmt.Sprintf(`{"op":%q,"model":%q,"version":%d,"switch_mode":"wait","holder":"h","fence":%d}`, operation, testModel, version, fencingToken)
	resp, err := http.Post(url+"/api/order", "application/json", strings.NewReader(body))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.Body.Close()).To(Succeed())
	return resp.StatusCode
}

func sendPrompt(g Gomega, url, expectedVersion string) *http.Response {
	req, err := http.NewRequest(http.MethodPost, url+"/query", strings.NewReader("x"))
	g.Expect(err).NotTo(HaveOccurred())
	req.Header.Set("X-Expect-Version", expectedVersion)
	resp, err := http.DefaultClient.Do(req)
	g.Expect(err).NotTo(HaveOccurred())
	return resp
}

// Guards against a stand-in that loads weights while it runs a request, or runs a request
// between the order and the end of the load: tests of rollouts would then miss rejections.
func TestLoadWaitsForRunningRequests(t *testing.T) {
	g := NewWithT(t)
	r, url := startEngine(t, g)
	stream := sendPrompt(g, url, "1")
	g.Expect(sendOrder(g, url, "version", 2, 1)).To(Equal(http.StatusAccepted))
	rejected := sendPrompt(g, url, "1")
	g.Expect(rejected.Body.Close()).To(Succeed())
	g.Expect(rejected.StatusCode).To(Equal(http.StatusServiceUnavailable))
	g.Expect(rejected.Header.Get("X-Not-Executed")).NotTo(BeEmpty())
	g.Expect(sendOrder(g, url, "version", 2, 1)).To(Equal(http.StatusConflict))

	body, err := io.ReadAll(stream.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(body)).To(Equal(StreamBody(10)))
	ended := time.Now()
	g.Eventually(r.WeightsVersion, "5s", "5ms").Should(Equal(int64(2)))
	g.Expect(time.Since(ended)).To(BeNumerically(">", 100*time.Millisecond))

	outdated := sendPrompt(g, url, "1")
	g.Expect(outdated.Body.Close()).To(Succeed())
	g.Expect(outdated.StatusCode).To(Equal(http.StatusMisdirectedRequest))
	g.Expect(outdated.Header.Get("X-Not-Executed")).NotTo(BeEmpty())
	runs := r.Executions()
	g.Expect(runs).To(HaveLen(1))
	g.Expect(runs[0].WeightsVersion).To(Equal(int64(1)))
}

// Guards against a stand-in that accepts an order which the platform refuses.
func TestInvalidOrdersAreRefused(t *testing.T) {
	g := NewWithT(t)
	_, url := startEngine(t, g)
	g.Expect(sendOrder(g, url, "load", 2, 5)).To(Equal(http.StatusBadRequest))
	g.Expect(sendOrder(g, url, "version", 3, 5)).To(Equal(http.StatusBadRequest), "the version was not published")
	g.Expect(sendOrder(g, url, "version", 2, 0)).To(Equal(http.StatusBadRequest), "no fencing token")
	g.Expect(sendOrder(g, url, "version", 1, 5)).To(Equal(http.StatusOK), "the version is loaded")
	g.Expect(sendOrder(g, url, "version", 2, 4)).To(Equal(http.StatusPreconditionFailed))
}
