package scenario

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/sequoiaroad/sequoiaroad/internal/admin"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
	"github.com/sequoiaroad/sequoiaroad/standin/caller"
	"github.com/sequoiaroad/sequoiaroad/standin/engine"
)

const (
	callTimeout = 6 * time.Second
	// withdrawnWithin is the time after which an accepted withdrawal is in force
	// everywhere: 3 s, and one for the way of the answer.
	withdrawnWithin = 4 * time.Second
	spareKeys       = 8
)

// failureRun is the traffic and the checks of one seeded run.
type failureRun struct {
	seed                    uint64
	store, network, booking string
	key                     string
	callers                 []string
	operators               []*admin.Client
	client                  *http.Client
	ended                   context.Context

	mu         sync.Mutex
	violations []string
	counts     map[string]int
	bookings   []*bookingRecord
	withdrawn  map[string]time.Time // by clear key, when the withdrawal was accepted
	spare      map[string]string    // key id to clear key
}

// bookingRecord is what the caller of one booking was told.
type bookingRecord struct {
	id string
	// allNotRun says that each answer so far was a refusal with not_run.
	allNotRun bool
	answered  bool
	lastCode  string
}

// cmdFailures runs "failures SEED".
func cmdFailures(ts *testscript.TestScript, _ bool, args []string) {
	seed, err := strconv.ParseUint(args[0], 10, 64)
	ts.Check(err)
	ended, stop := context.WithCancel(context.Background())
	f := &failureRun{
		seed: seed, store: ts.Getenv("STORE"), network: ts.Getenv("NETCTL"), booking: ts.Getenv("BOOKING"),
		key: ts.Getenv("CLIENT"), client: &http.Client{Timeout: callTimeout}, ended: ended,
		counts: map[string]int{}, withdrawn: map[string]time.Time{}, spare: map[string]string{},
	}
	for _, n := range []string{"1", "2", "3"} {
		f.callers = append(f.callers, ts.Getenv("H"+n))
		f.operators = append(f.operators, &admin.Client{Address: ts.Getenv("A" + n), Key: ts.Getenv("KEY"), HTTP: f.client})
	}
	ts.Check(f.issueSpareKeys())
	var workers sync.WaitGroup
	const perKind = 3
	for w := range perKind {
		workers.Go(func() { f.streams(w) })
		workers.Go(func() { f.book(w) })
		workers.Go(func() { f.watchRevisions(w) })
	}
	workers.Go(f.operate)
	workers.Go(f.useSpareKeys)
	started := time.Now()
	for _, stage := range planFailures(seed) {
		time.Sleep(time.Until(started.Add(stage.at)))
		f.inject(ts, stage)
	}
	eventually(ts, "all hosts have recovered", func() error { return allListed(f.operators[0], len(f.callers)) })
	for _, address := range f.callers {
		eventually(ts, "a stream through "+address, func() error {
			c := f.caller(16)
			return c.StreamOnce(address, "recovered", &caller.Stream{})
		})
	}
	stop()
	workers.Wait()
	eventually(ts, "all bookings are settled", f.settleBookings)
	f.checkBookings()
	ts.Logf("seed %d: %v", seed, f.counts)
	if len(f.violations) > 0 {
		ts.Fatalf("seed %d: %d violations:\n%s", seed, len(f.violations), strings.Join(f.violations, "\n"))
	}
}

func (f *failureRun) violation(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.violations = append(f.violations, fmt.Sprintf(format, args...))
}

func (f *failureRun) count(what string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts[what]++
}

func (f *failureRun) random(kind, worker int) *rand.Rand {
	return rand.New(rand.NewPCG(f.seed, uint64(100*kind+worker+1)))
}

func (f *failureRun) pause(d time.Duration) bool {
	select {
	case <-f.ended.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (f *failureRun) caller(tokens int) *caller.Caller {
	return &caller.Caller{Key: f.key, Model: "m1", WeightsVersion: "1", MaxTokens: tokens, Client: f.client}
}

// streams reads streams one after the other, each at any host that goes on with it.
func (f *failureRun) streams(worker int) {
	random := f.random(0, worker)
	for i := 0; f.ended.Err() == nil; i++ {
		f.oneStream(random, fmt.Sprintf("seed %d worker %d stream %d", f.seed, worker, i))
	}
}

func (f *failureRun) oneStream(random *rand.Rand, prompt string) {
	c := f.caller(20 + random.IntN(200))
	r := &caller.Stream{}
	want := engine.CompletionText([]byte(prompt), c.MaxTokens, c.WeightsVersion)
	for first := random.IntN(len(f.callers)); f.ended.Err() == nil; first++ {
		err := c.StreamOnce(f.callers[first%len(f.callers)], prompt, r)
		if err == nil {
			if r.Text.String() != want {
				f.violation("stream %q ended with [DONE] and %q, not %q", prompt, r.Text.String(), want)
			}
			f.count("streams complete")
			return
		}
		if !strings.HasPrefix(want, r.Text.String()) {
			f.violation("stream %q has the text %q, not a part of %q", prompt, r.Text.String(), want)
			return
		}
		var broken *caller.ConnectionError
		if !errors.As(err, &broken) && !caller.SafeToRetry(err) {
			f.count("streams ended: " + err.Error())
			return
		}
		if !f.pause(retryInterval) {
			return
		}
	}
}

// book makes bookings, each repeated at other hosts until it is answered.
func (f *failureRun) book(worker int) {
	random := f.random(1, worker)
	for i := 0; f.ended.Err() == nil; i++ {
		b := &bookingRecord{id: fmt.Sprintf("seed-%d-worker-%d-booking-%d", f.seed, worker, i), allNotRun: true}
		f.mu.Lock()
		f.bookings = append(f.bookings, b)
		f.mu.Unlock()
		host := random.IntN(len(f.callers))
		if random.IntN(4) == 0 { // two hosts get it at once
			b.allNotRun = false
			go func() { _, _, _ = f.sendBooking(host+1, b.id) }()
		}
		const tries = 12
		for range tries {
			if f.tryBooking(b, host) || !f.pause(retryInterval) {
				break
			}
			host++
		}
	}
}

// tryBooking reports whether the booking was answered.
func (f *failureRun) tryBooking(b *bookingRecord, host int) bool {
	status, text, err := f.sendBooking(host, b.id)
	b.lastCode = ""
	if err != nil {
		b.allNotRun = false
		return false
	}
	if status == http.StatusOK {
		var answer struct {
			BookingID string `json:"booking_id"`
		}
		if json.Unmarshal(text, &answer) != nil || answer.BookingID != b.id {
			f.violation("booking %s got the answer %s", b.id, text)
		}
		b.answered = true
		f.count("bookings answered")
		return true
	}
	var refused struct {
		Error struct{ Code, Run string }
	}
	_ = json.Unmarshal(text, &refused)
	b.lastCode = refused.Error.Code
	f.count("bookings refused " + refused.Error.Code + " " + refused.Error.Run)
	b.allNotRun = b.allNotRun && refused.Error.Run == "not_run"
	if b.allNotRun {
		if runs, err := f.bookingRuns(b.id); err == nil && runs != 0 {
			f.violation("booking %s was refused with not_run (%s) and has run %d times", b.id, text, runs)
		}
	}
	return false
}

func (f *failureRun) sendBooking(host int, id string) (int, []byte, error) {
	c := &caller.Caller{Key: f.key, Client: f.client, Headers: caller.Headers{"Idempotency-Key: " + id}}
	url := "http://" + f.callers[host%len(f.callers)] + "/services/booking/bookings"
	response, err := c.Send(http.MethodPost, url, fmt.Sprintf(`{"booking_id":%q}`, id))
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, text, err
}

func (f *failureRun) bookingRuns(id string) (int, error) {
	response, err := f.client.Get("http://" + f.booking + "/standin/bookings/" + id)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	var body struct{ Runs int }
	err = json.NewDecoder(response.Body).Decode(&body)
	return body.Runs, err
}

// settleBookings repeats the unanswered bookings; one whose outcome is unknown stays so.
func (f *failureRun) settleBookings() error {
	open := 0
	for i, b := range f.bookings {
		if !b.answered && b.lastCode != "outcome_unknown" && !f.tryBooking(b, i) && b.lastCode != "outcome_unknown" {
			open++
		}
	}
	if open > 0 {
		return fmt.Errorf("%d bookings are open", open)
	}
	return nil
}

func (f *failureRun) checkBookings() {
	for _, b := range f.bookings {
		runs, err := f.bookingRuns(b.id)
		if err != nil {
			f.violation("booking %s: %v", b.id, err)
		}
		if runs > 1 || b.answered && runs != 1 {
			f.violation("booking %s has run %d times, answered=%v", b.id, runs, b.answered)
		}
		if !b.answered {
			f.count("bookings with unknown outcome")
		}
	}
}

// watchRevisions checks that the revision of a host never goes down. A new process may
// have none at first.
func (f *failureRun) watchRevisions(host int) {
	highest := uint64(0)
	for f.pause(retryInterval) {
		hosts, err := f.operators[host].Hosts(f.ended)
		if err != nil {
			continue
		}
		for _, h := range hosts {
			if !h.Self || h.Revision == 0 {
				continue
			}
			if h.Revision < highest {
				f.violation("host %s (%s) went from revision %d to %d", h.HostID, h.Incarnation, highest, h.Revision)
			}
			highest = max(highest, h.Revision)
			f.count("revisions read")
		}
	}
}

func (f *failureRun) issueSpareKeys() error {
	for i := range spareKeys {
		id := fmt.Sprintf("spare-%d", i)
		issued, err := f.operators[0].IssueKey(f.ended, admin.IssueKeyRequest{AccountID: "stove", ID: id}, admin.ChangeOptions{})
		if err != nil {
			return err
		}
		f.spare[id] = issued.Key
	}
	return nil
}

// operate changes presets and withdraws the spare keys, at any host.
func (f *failureRun) operate() {
	random := f.random(2, 0)
	presets := []config.Preset{config.PresetOrdinary, config.PresetPeak, config.PresetMaintenance}
	next := 0
	for f.pause(500*time.Millisecond + below(random, time.Second)) {
		operator := f.operators[random.IntN(len(f.operators))]
		if next < spareKeys && random.IntN(2) == 0 {
			id := fmt.Sprintf("spare-%d", next)
			// A withdrawal whose answer was lost may have been accepted: then a
			// repeat does not find the key.
			_, err := operator.WithdrawKey(f.ended, id, admin.ChangeOptions{})
			var refused *admin.Error
			if err != nil && !(errors.As(err, &refused) && refused.Code == admin.CodeNotFound) {
				f.count("withdrawals not accepted")
				continue
			}
			f.mu.Lock()
			f.withdrawn[f.spare[id]] = time.Now()
			f.mu.Unlock()
			f.count("withdrawals accepted")
			next++
			continue
		}
		if _, err := operator.SetPreset(f.ended, presets[random.IntN(len(presets))], admin.ChangeOptions{}); err != nil {
			f.count("preset changes not accepted")
			continue
		}
		f.count("preset changes accepted")
	}
}

// useSpareKeys sends requests with all spare keys to all hosts. None may be served once
// its withdrawal has been accepted for withdrawnWithin.
func (f *failureRun) useSpareKeys() {
	var workers sync.WaitGroup
	for _, address := range f.callers {
		for _, key := range f.spare {
			workers.Go(func() {
				for f.pause(4 * retryInterval) {
					f.useKey(address, key)
				}
			})
		}
	}
	workers.Wait()
}

func (f *failureRun) useKey(address, key string) {
	f.mu.Lock()
	accepted, withdrawn := f.withdrawn[key]
	f.mu.Unlock()
	inForce := withdrawn && time.Since(accepted) > withdrawnWithin
	c := &caller.Caller{Key: key, Client: f.client}
	response, err := c.Send(http.MethodPost, "http://"+address+"/v1/completions", `{"model":"m1","prompt":"x","max_tokens":1}`)
	if err != nil {
		return
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	if response.StatusCode != http.StatusOK {
		return
	}
	f.count("requests under spare keys served")
	if inForce {
		f.violation("host %s served a key %v after its withdrawal was accepted", address, time.Since(accepted))
	}
}
