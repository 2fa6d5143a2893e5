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

func start(t *testing.T, o Options) (*Engine, string) {
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

func complete(url string, prompt string, more map[string]any) (int, map[string]any, string) {
	body := map[string]any{"model": "m", "prompt": prompt, "max_tokens": 4}
	for k, v := range more {
		body[k] = v
	}
	return post(url+"/v1/completions", body)
}

func cachedTokens(answer map[string]any) int {
	return int(answer["usage"].(map[string]any)["cached_tokens"].(float64))
}

var salt = prefix.Namespace{AccountID: "club", Model: "m", WeightsVersion: "v1"}.Seed()

// Guards against an engine whose cache hits do not follow the published hashes: a
// router's index would then be judged against a wrong oracle.
func TestCacheFollowsChainAndSalt(t *testing.T) {
	g := NewWithT(t)
	e, url := start(t, Options{WeightsVersion: "v1", CacheBlocks: 3})
	long := strings.Repeat("manual ", prefix.BlockBytes/7*2+600)
	chain := prefix.Chain(salt, []byte(long))
	g.Expect(chain).To(HaveLen(3))

	with := map[string]any{"cache_salt": salt.String()}
	_, first, _ := complete(url, long, with)
	g.Expect(cachedTokens(first)).To(BeZero())
	g.Expect(e.CachedPrefixBlocks(chain)).To(Equal(3))
	_, second, _ := complete(url, long, with)
	g.Expect(cachedTokens(second)).To(Equal(3000))
	other := prefix.Namespace{AccountID: "other", Model: "m", WeightsVersion: "v1"}.Seed()
	_, foreign, _ := complete(url, long, map[string]any{"cache_salt": other.String()})
	g.Expect(cachedTokens(foreign)).To(BeZero())
	g.Expect(e.CachedPrefixBlocks(chain)).To(BeZero(), "the other chain must have evicted this one")
	g.Expect(e.Counters().Runs).To(Equal(3))
	complete(url, long, with)
	g.Expect(e.Counters().RecomputedTokens).To(Equal(3000))
}

// Guards against a continuation that differs from an uninterrupted answer.
func TestContinuationGivesTheSameText(t *testing.T) {
	g := NewWithT(t)
	_, url := start(t, Options{WeightsVersion: "v1"})
	_, whole, _ := complete(url, "hello", nil)
	text := whole["choices"].([]any)[0].(map[string]any)["text"]
	g.Expect(text).To(Equal(CompletionText([]byte("hello"), 4, "v1")))
	_, rest, _ := complete(url, "hello", map[string]any{"resume_text": CompletionText([]byte("hello"), 3, "v1"), "resume_offset": 3})
	g.Expect(rest["choices"].([]any)[0].(map[string]any)["text"]).To(Equal(CompletionToken([]byte("hello"), 3, "v1")))
	status, refused, _ := complete(url, "hello", map[string]any{"resume_text": "wrong", "resume_offset": 3})
	g.Expect(status).To(Equal(http.StatusBadRequest))
	g.Expect(refused["run"]).To(Equal("not_run"))
}

// Guards against streams that can't be resumed, and against a crash that keeps them.
func TestResumeAndCrash(t *testing.T) {
	g := NewWithT(t)
	e, url := start(t, Options{WeightsVersion: "v1"})
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

// Guards against priorities and cancellation that leave the batch occupied.
func TestBatchOrderAndCancel(t *testing.T) {
	g := NewWithT(t)
	e, url := start(t, Options{MaxRunning: 1, DecodePerToken: 20 * time.Millisecond})
	finished := make(chan string, 3)
	request := func(id string, priority int) {
		complete(url, id, map[string]any{"request_id": id, "priority": priority})
		finished <- id
	}
	go request("running", 0)
	g.Eventually(func() int { return e.Counters().Runs }).Should(Equal(1))
	go request("late", 5)
	g.Eventually(func() int { e.mu.Lock(); defer e.mu.Unlock(); return len(e.waiting) }).Should(Equal(1))
	go request("urgent", 1)
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

// Guards against a load report that leaves out a request which the engine has accepted
// but not begun: a caller that sees an idle engine takes a later run for its own.
func TestAcceptedRequestIsInTheLoadReport(t *testing.T) {
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
	e.load(report, httptest.NewRequest(http.MethodGet, "/v1/load", nil))
	g.Expect(report.Body.String()).To(ContainSubstring(`"running":1`))
}

func events(g Gomega, url, epoch string, after uint64) (answer struct {
	Epoch    string
	Reset    bool
	Sequence uint64
	Events   []cacheEvent
}) {
	response, err := http.Get(url + "/v1/cache/events?epoch=" + epoch + "&after=" + strconv.FormatUint(after, 10))
	g.Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	g.Expect(json.NewDecoder(response.Body).Decode(&answer)).To(Succeed())
	return answer
}

// Guards against lost events that leave no gap in the sequence, and against delayed
// reports that are current.
func TestEventsLossAndLag(t *testing.T) {
	g := NewWithT(t)
	_, url := start(t, Options{EventLossRate: 0.5, Seed: 7, CacheBlocks: 100})
	first := events(g, url, "", 0)
	g.Expect(first.Reset).To(BeTrue())
	for i := range 20 {
		complete(url, strconv.Itoa(i)+strings.Repeat("x", prefix.BlockBytes), nil)
	}
	next := events(g, url, first.Epoch, 0)
	g.Expect(next.Reset).To(BeFalse())
	g.Expect(len(next.Events)).To(And(BeNumerically(">", 0), BeNumerically("<", 20)))
	g.Expect(next.Sequence).To(BeNumerically(">", len(next.Events)), "a loss must show as a gap")
	g.Expect(events(g, url, first.Epoch, 99999).Reset).To(BeTrue())
	g.Expect(events(g, url, "old", 0).Events).To(HaveLen(20))

	_, slow := start(t, Options{EventDelay: time.Hour, LoadReportAge: time.Hour, MaxRunning: 1, DecodePerToken: time.Hour})
	epoch := events(g, slow, "", 0).Epoch
	complete(slow, strings.Repeat("x", prefix.BlockBytes), map[string]any{"max_tokens": 1, "resume_offset": 1, "resume_text": CompletionText([]byte(strings.Repeat("x", prefix.BlockBytes)), 1, "")})
	g.Expect(events(g, slow, epoch, 0).Events).To(BeEmpty())
}

// Guards against KV copies that are accepted for another seed, epoch or content.
func TestKVTransferIsChecked(t *testing.T) {
	g := NewWithT(t)
	from, fromURL := start(t, Options{WeightsVersion: "v1"})
	to, toURL := start(t, Options{WeightsVersion: "v1"})
	prompt := strings.Repeat("p", 2*prefix.BlockBytes)
	chain := prefix.Chain(salt, []byte(prompt))
	complete(fromURL, prompt, map[string]any{"cache_salt": salt.String()})
	request := map[string]any{"epoch": from.Epoch(), "cache_salt": salt.String(), "hashes": []string{chain[0].String(), chain[1].String()}}
	status, exported, _ := post(fromURL+"/v1/kv/export", request)
	g.Expect(status).To(Equal(http.StatusOK))
	blocks := exported["blocks"].([]any)
	g.Expect(blocks).To(HaveLen(2))

	load := map[string]any{"epoch": "old", "cache_salt": salt.String(), "weights_version": "v1", "blocks": blocks}
	status, _, _ = post(toURL+"/v1/kv/import", load)
	g.Expect(status).To(Equal(http.StatusConflict))
	load["epoch"] = to.Epoch()
	other := prefix.Namespace{AccountID: "other"}.Seed()
	load["cache_salt"] = other.String()
	_, answer, _ := post(toURL+"/v1/kv/import", load)
	g.Expect(answer["imported"]).To(BeEquivalentTo(0))
	load["cache_salt"] = salt.String()
	_, answer, _ = post(toURL+"/v1/kv/import", load)
	g.Expect(answer["imported"]).To(BeEquivalentTo(2))
	g.Expect(to.CachedPrefixBlocks(chain)).To(Equal(2))
}

// Guards against a fencing check that passes stale orders, or that can't be turned off.
func TestOrdersAndFencing(t *testing.T) {
	g := NewWithT(t)
	for _, checks := range []bool{true, false} {
		e, url := start(t, Options{WeightsVersion: "v1", ChecksFencing: checks, Models: []string{"m"}})
		complete(url, strings.Repeat("x", prefix.BlockBytes), nil)
		status, _, _ := post(url+"/v1/orders", map[string]any{"kind": "load_version", "weights_version": "v2", "fencing_number": 5})
		g.Expect(status).To(Equal(http.StatusOK))
		g.Expect(e.WeightsVersion()).To(Equal("v2"))
		g.Expect(e.CachedPrefixBlocks(prefix.Chain(prefix.BlockHash{}, []byte(strings.Repeat("x", prefix.BlockBytes))))).To(BeZero())
		status, _, _ = post(url+"/v1/orders", map[string]any{"kind": "change_role", "role": "prefill", "fencing_number": 4})
		g.Expect(status == http.StatusOK).To(Equal(!checks))
		g.Expect(e.Role() == "prefill").To(Equal(!checks))
	}
}
