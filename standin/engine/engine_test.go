package engine

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sequoiaroad/sequoiaroad/policy/prefix"
)

func startEngine(t *testing.T, o Options) (*Engine, string) {
	e := New(o)
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	return e, server.URL
}

func post(url string, body any) (int, map[string]any, string) {
	data, _ := json.Marshal(body)
	response, err := http.Post(url, "application/json", bytes.NewReader(data))
	if err != nil {
		return 0, nil, ""
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	var decoded map[string]any
	_ = json.Unmarshal(text, &decoded)
	return response.StatusCode, decoded, string(text)
}

func complete(url string, prompt string, extra map[string]any) (int, map[string]any, string) {
	body := map[string]any{"model": "m", "prompt": prompt, "max_tokens": 4}
	for k, v := range extra {
		body[k] = v
	}
	return post(url+"/v1/completions", body)
}

func cachedTokens(response map[string]any) int {
	return int(response["usage"].(map[string]any)["cached_tokens"].(float64))
}

var salt = prefix.Namespace{AccountID: "club", Model: "m", WeightsVersion: "v1"}.Seed()

// Guards against cache hits that don't match the published block hashes: tests of a
// router's cache index would then compare it with wrong contents.
func TestCacheHitsRequireSameChainAndSalt(t *testing.T) {
	g := NewWithT(t)
	e, url := startEngine(t, Options{WeightsVersion: "v1", CacheBlocks: 3})
	prompt := strings.Repeat("manual ", prefix.BlockBytes/7*2+600)
	chain := prefix.Chain(salt, []byte(prompt))
	g.Expect(chain).To(HaveLen(3))

	salted := map[string]any{"cache_salt": salt.String()}
	_, first, _ := complete(url, prompt, salted)
	g.Expect(cachedTokens(first)).To(BeZero())
	g.Expect(e.CachedPrefixBlocks(chain)).To(Equal(3))
	_, second, _ := complete(url, prompt, salted)
	g.Expect(cachedTokens(second)).To(Equal(3000))
	otherSalt := prefix.Namespace{AccountID: "other", Model: "m", WeightsVersion: "v1"}.Seed()
	_, otherAccount, _ := complete(url, prompt, map[string]any{"cache_salt": otherSalt.String()})
	g.Expect(cachedTokens(otherAccount)).To(BeZero())
	g.Expect(e.CachedPrefixBlocks(chain)).To(BeZero(), "the other chain must have evicted this one")
	g.Expect(e.Counters().Runs).To(Equal(3))
	complete(url, prompt, salted)
	g.Expect(e.Counters().RecomputedTokens).To(Equal(3000))
}

// Guards against a resumed completion whose text differs from an uninterrupted one, and
// against an accepted resume_text that the engine did not generate.
func TestResumedCompletionMatchesUninterrupted(t *testing.T) {
	g := NewWithT(t)
	_, url := startEngine(t, Options{WeightsVersion: "v1"})
	_, uninterrupted, _ := complete(url, "hello", nil)
	text := uninterrupted["choices"].([]any)[0].(map[string]any)["text"]
	g.Expect(text).To(Equal(CompletionText([]byte("hello"), 4, "v1")))
	_, resumed, _ := complete(url, "hello", map[string]any{"resume_text": CompletionText([]byte("hello"), 3, "v1"), "resume_offset": 3})
	g.Expect(resumed["choices"].([]any)[0].(map[string]any)["text"]).To(Equal(CompletionToken([]byte("hello"), 3, "v1")))
	status, rejected, _ := complete(url, "hello", map[string]any{"resume_text": "wrong", "resume_offset": 3})
	g.Expect(status).To(Equal(http.StatusBadRequest))
	g.Expect(rejected["run"]).To(Equal("not_run"))
}

// Guards against streams that can't be resumed from an offset, and against streams that
// survive a crash.
func TestStreamsResumeUntilCrash(t *testing.T) {
	g := NewWithT(t)
	e, url := startEngine(t, Options{WeightsVersion: "v1"})
	_, _, _ = complete(url, "hello", map[string]any{"request_id": "r1", "stream": true})
	response, err := http.Get(url + "/v1/streams/r1?offset=2")
	g.Expect(err).NotTo(HaveOccurred())
	text, _ := io.ReadAll(response.Body)
	_ = response.Body.Close()
	g.Expect(strings.Count(string(text), `"offset":`)).To(Equal(2))
	g.Expect(string(text)).To(HaveSuffix("data: [DONE]\n\n"))

	epoch := e.Epoch()
	e.Crash()
	g.Expect(e.Epoch()).NotTo(Equal(epoch))
	response, err = http.Get(url + "/v1/streams/r1?offset=2")
	g.Expect(err).NotTo(HaveOccurred())
	_ = response.Body.Close()
	g.Expect(response.StatusCode).To(Equal(http.StatusNotFound))
}

// Guards against a cancelled request that keeps its slot in the batch, and against
// waiting requests that start out of priority order.
func TestCancelStartsWaitingRequestsByPriority(t *testing.T) {
	g := NewWithT(t)
	e, url := startEngine(t, Options{MaxRunning: 1, DecodePerToken: 20 * time.Millisecond})
	finished := make(chan string, 3)
	send := func(id string, priority int) {
		complete(url, id, map[string]any{"request_id": id, "priority": priority})
		finished <- id
	}
	go send("running", 0)
	g.Eventually(func() int { return e.Counters().Runs }).Should(Equal(1))
	go send("late", 5)
	g.Eventually(func() int { e.mu.Lock(); defer e.mu.Unlock(); return len(e.waiting) }).Should(Equal(1))
	go send("urgent", 1)
	g.Eventually(func() int { e.mu.Lock(); defer e.mu.Unlock(); return len(e.waiting) }).Should(Equal(2))
	cancel, _ := http.NewRequest(http.MethodDelete, url+"/v1/streams/running", nil)
	response, err := http.DefaultClient.Do(cancel)
	g.Expect(err).NotTo(HaveOccurred())
	_ = response.Body.Close()
	g.Expect(<-finished).To(Equal("running"))
	g.Expect(<-finished).To(Equal("urgent"))
	g.Expect(<-finished).To(Equal("late"))
	g.Eventually(func() int { e.mu.Lock(); defer e.mu.Unlock(); return e.running }).Should(BeZero())
}

// Guards against a load report that omits an accepted request whose prefill has not begun:
// a test that finds the engine idle would attribute the run to its own, later request.
func TestLoadReportIncludesAcceptedRequest(t *testing.T) {
	g := NewWithT(t)
	e := New(Options{PrefillPerToken: time.Hour})
	e.SetFaults(Faults{DropAfterBytes: -1})
	body := `{"model":"m1","prompt":"hello","max_tokens":2,"stream":true,"request_id":"r1"}`
	drop := func() {
		defer func() { g.Expect(recover()).To(Equal(http.ErrAbortHandler)) }()
		e.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(body)))
	}
	drop()
	report := httptest.NewRecorder()
	e.handleLoad(report, httptest.NewRequest(http.MethodGet, "/v1/load", nil))
	g.Expect(report.Body.String()).To(ContainSubstring(`"running":1`))
}

func getEvents(g Gomega, url, epoch string, after uint64) (result struct {
	Epoch    string
	Reset    bool
	Sequence uint64
	Events   []cacheEvent
}) {
	response, err := http.Get(url + "/v1/cache/events?epoch=" + epoch + "&after=" + strconv.FormatUint(after, 10))
	g.Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	g.Expect(json.NewDecoder(response.Body).Decode(&result)).To(Succeed())
	return result
}

// Guards against lost cache events that leave no gap in the sequence, and against
// events that can be read before the configured delay.
func TestCacheEventLossAndDelay(t *testing.T) {
	g := NewWithT(t)
	_, url := startEngine(t, Options{EventLossRate: 0.5, Seed: 7, CacheBlocks: 100})
	first := getEvents(g, url, "", 0)
	g.Expect(first.Reset).To(BeTrue())
	for i := range 20 {
		complete(url, strconv.Itoa(i)+strings.Repeat("x", prefix.BlockBytes), nil)
	}
	next := getEvents(g, url, first.Epoch, 0)
	g.Expect(next.Reset).To(BeFalse())
	g.Expect(len(next.Events)).To(And(BeNumerically(">", 0), BeNumerically("<", 20)))
	g.Expect(next.Sequence).To(BeNumerically(">", len(next.Events)), "a loss must show as a gap")
	g.Expect(getEvents(g, url, first.Epoch, 99999).Reset).To(BeTrue())
	g.Expect(getEvents(g, url, "old", 0).Events).To(HaveLen(20))

	_, delayedURL := startEngine(t, Options{EventDelay: time.Hour, LoadReportAge: time.Hour, MaxRunning: 1, DecodePerToken: time.Hour})
	epoch := getEvents(g, delayedURL, "", 0).Epoch
	complete(delayedURL, strings.Repeat("x", prefix.BlockBytes), map[string]any{"max_tokens": 1, "resume_offset": 1, "resume_text": CompletionText([]byte(strings.Repeat("x", prefix.BlockBytes)), 1, "")})
	g.Expect(getEvents(g, delayedURL, epoch, 0).Events).To(BeEmpty())
}

// Guards against imports of KV blocks that are accepted for another epoch or salt.
func TestKVImportChecksEpochAndSalt(t *testing.T) {
	g := NewWithT(t)
	from, fromURL := startEngine(t, Options{WeightsVersion: "v1"})
	to, toURL := startEngine(t, Options{WeightsVersion: "v1"})
	prompt := strings.Repeat("p", 2*prefix.BlockBytes)
	chain := prefix.Chain(salt, []byte(prompt))
	complete(fromURL, prompt, map[string]any{"cache_salt": salt.String()})
	exportRequest := map[string]any{"epoch": from.Epoch(), "cache_salt": salt.String(), "hashes": []string{chain[0].String(), chain[1].String()}}
	status, exported, _ := post(fromURL+"/v1/kv/export", exportRequest)
	g.Expect(status).To(Equal(http.StatusOK))
	blocks := exported["blocks"].([]any)
	g.Expect(blocks).To(HaveLen(2))

	importRequest := map[string]any{"epoch": "old", "cache_salt": salt.String(), "weights_version": "v1", "blocks": blocks}
	status, _, _ = post(toURL+"/v1/kv/import", importRequest)
	g.Expect(status).To(Equal(http.StatusConflict))
	importRequest["epoch"] = to.Epoch()
	otherSalt := prefix.Namespace{AccountID: "other"}.Seed()
	importRequest["cache_salt"] = otherSalt.String()
	_, result, _ := post(toURL+"/v1/kv/import", importRequest)
	g.Expect(result["imported"]).To(BeEquivalentTo(0))
	importRequest["cache_salt"] = salt.String()
	_, result, _ = post(toURL+"/v1/kv/import", importRequest)
	g.Expect(result["imported"]).To(BeEquivalentTo(2))
	g.Expect(to.CachedPrefixBlocks(chain)).To(Equal(2))
}

// Guards against a fencing check that accepts stale orders, or that can't be disabled.
func TestOrdersCheckFencingToken(t *testing.T) {
	g := NewWithT(t)
	for _, checksFencing := range []bool{true, false} {
		e, url := startEngine(t, Options{WeightsVersion: "v1", ChecksFencing: checksFencing, Models: []string{"m"}})
		complete(url, strings.Repeat("x", prefix.BlockBytes), nil)
		status, _, _ := post(url+"/v1/orders", map[string]any{"kind": "load_version", "weights_version": "v2", "fencing_number": 5})
		g.Expect(status).To(Equal(http.StatusOK))
		g.Expect(e.WeightsVersion()).To(Equal("v2"))
		g.Expect(e.CachedPrefixBlocks(prefix.Chain(prefix.BlockHash{}, []byte(strings.Repeat("x", prefix.BlockBytes))))).To(BeZero())
		status, _, _ = post(url+"/v1/orders", map[string]any{"kind": "change_role", "role": "prefill", "fencing_number": 4})
		g.Expect(status == http.StatusOK).To(Equal(!checksFencing))
		g.Expect(e.Role() == "prefill").To(Equal(!checksFencing))
	}
}
