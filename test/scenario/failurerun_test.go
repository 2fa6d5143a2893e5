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
	requestTimeout = 6 * time.Second
	// withdrawalDeadline is the time after which all hosts must enforce an accepted
	// withdrawal: 3 s, plus 1 s for the transmission of the response.
	withdrawalDeadline = 4 * time.Second
	spareKeyCount      = 8
)

// failureRun generates the traffic of one seeded run and checks the responses.
type failureRun struct {
	seed                                 uint64
	storeURL, networkURL, bookingAddress string
	clientKey                            string
	callerAddresses                      []string
	adminClients                         []*admin.Client
	httpClient                           *http.Client
	ctx                                  context.Context // ends when the workers must stop

	mu          sync.Mutex
	violations  []string
	counts      map[string]int
	bookings    []*bookingRecord
	withdrawnAt map[string]time.Time // plaintext key to the time when its withdrawal was accepted
	spareKeys   map[string]string    // key id to plaintext key
}

// bookingRecord holds the responses to one booking.
type bookingRecord struct {
	id string
	// allNotRun is true while every attempt was refused with not_run.
	allNotRun bool
	succeeded bool
	lastCode  string
}

// cmdFailures runs "failures SEED": it injects the faults of the seed while callers and
// operators send requests, and fails if a stream, a booking, a configuration revision or
// a withdrawn key violates a guarantee, or if a host does not recover.
func cmdFailures(ts *testscript.TestScript, _ bool, args []string) {
	seed, err := strconv.ParseUint(args[0], 10, 64)
	ts.Check(err)
	ctx, stop := context.WithCancel(context.Background())
	f := &failureRun{
		seed: seed, storeURL: ts.Getenv("STORE"), networkURL: ts.Getenv("NETCTL"), bookingAddress: ts.Getenv("BOOKING"),
		clientKey: ts.Getenv("CLIENT"), httpClient: &http.Client{Timeout: requestTimeout}, ctx: ctx,
		counts: map[string]int{}, withdrawnAt: map[string]time.Time{}, spareKeys: map[string]string{},
	}
	for _, n := range []string{"1", "2", "3"} {
		f.callerAddresses = append(f.callerAddresses, ts.Getenv("H"+n))
		f.adminClients = append(f.adminClients, &admin.Client{Address: ts.Getenv("A" + n), Key: ts.Getenv("KEY"), HTTP: f.httpClient})
	}
	ts.Check(f.issueSpareKeys())
	var wg sync.WaitGroup
	const workersPerKind = 3
	for worker := range workersPerKind {
		wg.Go(func() { f.runStreams(worker) })
		wg.Go(func() { f.makeBookings(worker) })
		wg.Go(func() { f.checkRevisions(worker) })
	}
	wg.Go(f.changeConfiguration)
	wg.Go(f.sendWithSpareKeys)
	start := time.Now()
	for _, event := range planFaults(seed) {
		time.Sleep(time.Until(start.Add(event.at)))
		f.inject(ts, event)
	}
	eventually(ts, "all hosts have recovered", func() error { return checkAllListed(f.adminClients[0], len(f.callerAddresses)) })
	for _, address := range f.callerAddresses {
		eventually(ts, "a stream completes through "+address, func() error {
			c := f.newCaller(16)
			return c.StreamOnce(address, "recovered", &caller.Stream{})
		})
	}
	stop()
	wg.Wait()
	eventually(ts, "all bookings are settled", f.settleBookings)
	f.checkBookings()
	ts.Logf("seed %d: %v", seed, f.counts)
	if len(f.violations) > 0 {
		ts.Fatalf("seed %d: %d violations:\n%s", seed, len(f.violations), strings.Join(f.violations, "\n"))
	}
}

// addViolation records that a guarantee was violated.
func (f *failureRun) addViolation(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.violations = append(f.violations, fmt.Sprintf(format, args...))
}

// count counts an outcome for the log of the run.
func (f *failureRun) count(outcome string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts[outcome]++
}

// newRand returns the random source of one worker, derived from the seed.
func (f *failureRun) newRand(kind, worker int) *rand.Rand {
	return rand.New(rand.NewPCG(f.seed, uint64(100*kind+worker+1)))
}

// sleep waits for d. It returns false if the workers must stop.
func (f *failureRun) sleep(d time.Duration) bool {
	select {
	case <-f.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (f *failureRun) newCaller(tokens int) *caller.Caller {
	return &caller.Caller{Key: f.clientKey, Model: "m1", WeightsVersion: "1", MaxTokens: tokens, Client: f.httpClient}
}

// runStreams reads one stream after another. Each may be resumed at any host.
func (f *failureRun) runStreams(worker int) {
	random := f.newRand(0, worker)
	for i := 0; f.ctx.Err() == nil; i++ {
		f.runStream(random, fmt.Sprintf("seed %d worker %d stream %d", f.seed, worker, i))
	}
}

// runStream reads one stream until it is complete or ends with an error that does not
// allow a retry, and checks that its text is correct so far.
func (f *failureRun) runStream(random *rand.Rand, prompt string) {
	c := f.newCaller(20 + random.IntN(200))
	stream := &caller.Stream{}
	want := engine.CompletionText([]byte(prompt), c.MaxTokens, c.WeightsVersion)
	for host := random.IntN(len(f.callerAddresses)); f.ctx.Err() == nil; host++ {
		err := c.StreamOnce(f.callerAddresses[host%len(f.callerAddresses)], prompt, stream)
		if err == nil {
			if stream.Text.String() != want {
				f.addViolation("stream %q ended with [DONE] and %q, not %q", prompt, stream.Text.String(), want)
			}
			f.count("streams complete")
			return
		}
		if !strings.HasPrefix(want, stream.Text.String()) {
			f.addViolation("stream %q has the text %q, not a prefix of %q", prompt, stream.Text.String(), want)
			return
		}
		var connectionError *caller.ConnectionError
		if !errors.As(err, &connectionError) && !caller.SafeToRetry(err) {
			f.count("streams failed: " + err.Error())
			return
		}
		if !f.sleep(retryInterval) {
			return
		}
	}
}

// makeBookings sends one booking after another and retries each at other hosts until it
// succeeds or maxAttempts is reached.
func (f *failureRun) makeBookings(worker int) {
	random := f.newRand(1, worker)
	for i := 0; f.ctx.Err() == nil; i++ {
		b := &bookingRecord{id: fmt.Sprintf("seed-%d-worker-%d-booking-%d", f.seed, worker, i), allNotRun: true}
		f.mu.Lock()
		f.bookings = append(f.bookings, b)
		f.mu.Unlock()
		host := random.IntN(len(f.callerAddresses))
		if random.IntN(4) == 0 { // sends the booking to a second host concurrently
			b.allNotRun = false
			go func() { _, _, _ = f.sendBooking(host+1, b.id) }()
		}
		const maxAttempts = 12
		for range maxAttempts {
			if f.tryBooking(b, host) || !f.sleep(retryInterval) {
				break
			}
			host++
		}
	}
}

// tryBooking sends a booking and records the response. It reports whether the booking
// succeeded.
func (f *failureRun) tryBooking(b *bookingRecord, host int) bool {
	status, body, err := f.sendBooking(host, b.id)
	b.lastCode = ""
	if err != nil {
		b.allNotRun = false
		return false
	}
	if status == http.StatusOK {
		var booking struct {
			BookingID string `json:"booking_id"`
		}
		if json.Unmarshal(body, &booking) != nil || booking.BookingID != b.id {
			f.addViolation("booking %s received the response %s", b.id, body)
		}
		b.succeeded = true
		f.count("bookings succeeded")
		return true
	}
	var refusal struct {
		Error struct{ Code, Run string }
	}
	_ = json.Unmarshal(body, &refusal)
	b.lastCode = refusal.Error.Code
	f.count("bookings refused " + refusal.Error.Code + " " + refusal.Error.Run)
	b.allNotRun = b.allNotRun && refusal.Error.Run == "not_run"
	if b.allNotRun {
		if runs, err := f.bookingRuns(b.id); err == nil && runs != 0 {
			f.addViolation("booking %s was refused with not_run (%s) but ran %d times", b.id, body, runs)
		}
	}
	return false
}

// sendBooking sends a booking to a host and returns the status and the body.
func (f *failureRun) sendBooking(host int, id string) (int, []byte, error) {
	c := &caller.Caller{Key: f.clientKey, Client: f.httpClient, Headers: caller.Headers{"Idempotency-Key: " + id}}
	url := "http://" + f.callerAddresses[host%len(f.callerAddresses)] + "/services/booking/bookings"
	response, err := c.Send(http.MethodPost, url, fmt.Sprintf(`{"booking_id":%q}`, id))
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, data, err
}

// bookingRuns returns how often the booking service ran a booking.
func (f *failureRun) bookingRuns(id string) (int, error) {
	response, err := f.httpClient.Get("http://" + f.bookingAddress + "/standin/bookings/" + id)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	var counters struct{ Runs int }
	err = json.NewDecoder(response.Body).Decode(&counters)
	return counters.Runs, err
}

// settleBookings retries the bookings that have not succeeded, except those whose outcome
// is unknown.
func (f *failureRun) settleBookings() error {
	unsettled := 0
	for i, b := range f.bookings {
		if !b.succeeded && b.lastCode != "outcome_unknown" && !f.tryBooking(b, i) && b.lastCode != "outcome_unknown" {
			unsettled++
		}
	}
	if unsettled > 0 {
		return fmt.Errorf("%d bookings are not settled", unsettled)
	}
	return nil
}

// checkBookings checks that no booking ran more than once and that each booking that
// succeeded ran exactly once.
func (f *failureRun) checkBookings() {
	for _, b := range f.bookings {
		runs, err := f.bookingRuns(b.id)
		if err != nil {
			f.addViolation("booking %s: %v", b.id, err)
		}
		if runs > 1 || b.succeeded && runs != 1 {
			f.addViolation("booking %s ran %d times, succeeded=%v", b.id, runs, b.succeeded)
		}
		if !b.succeeded {
			f.count("bookings with unknown outcome")
		}
	}
}

// checkRevisions checks that the configuration revision of a host never decreases. A new
// process may have no revision at first.
func (f *failureRun) checkRevisions(host int) {
	highest := uint64(0)
	for f.sleep(retryInterval) {
		hosts, err := f.adminClients[host].Hosts(f.ctx)
		if err != nil {
			continue
		}
		for _, h := range hosts {
			if !h.Self || h.Revision == 0 {
				continue
			}
			if h.Revision < highest {
				f.addViolation("host %s (%s) reverted from revision %d to %d", h.HostID, h.Incarnation, highest, h.Revision)
			}
			highest = max(highest, h.Revision)
			f.count("revisions read")
		}
	}
}

// issueSpareKeys issues the keys that changeConfiguration withdraws.
func (f *failureRun) issueSpareKeys() error {
	for i := range spareKeyCount {
		id := fmt.Sprintf("spare-%d", i)
		issued, err := f.adminClients[0].IssueKey(f.ctx, admin.IssueKeyRequest{AccountID: "stove", ID: id}, admin.ChangeOptions{})
		if err != nil {
			return err
		}
		f.spareKeys[id] = issued.Key
	}
	return nil
}

// changeConfiguration sets presets and withdraws the spare keys through random hosts.
func (f *failureRun) changeConfiguration() {
	random := f.newRand(2, 0)
	presets := []config.Preset{config.PresetOrdinary, config.PresetPeak, config.PresetMaintenance}
	next := 0
	for f.sleep(500*time.Millisecond + randomDuration(random, time.Second)) {
		client := f.adminClients[random.IntN(len(f.adminClients))]
		if next < spareKeyCount && random.IntN(2) == 0 {
			id := fmt.Sprintf("spare-%d", next)
			// If the response to an accepted withdrawal was lost, a retry does not find
			// the key.
			_, err := client.WithdrawKey(f.ctx, id, admin.ChangeOptions{})
			var adminError *admin.Error
			if err != nil && !(errors.As(err, &adminError) && adminError.Code == admin.CodeNotFound) {
				f.count("withdrawals not accepted")
				continue
			}
			f.mu.Lock()
			f.withdrawnAt[f.spareKeys[id]] = time.Now()
			f.mu.Unlock()
			f.count("withdrawals accepted")
			next++
			continue
		}
		if _, err := client.SetPreset(f.ctx, presets[random.IntN(len(presets))], admin.ChangeOptions{}); err != nil {
			f.count("preset changes not accepted")
			continue
		}
		f.count("preset changes accepted")
	}
}

// sendWithSpareKeys sends requests with all spare keys to all hosts. No host may serve a
// key once withdrawalDeadline has passed since its withdrawal was accepted.
func (f *failureRun) sendWithSpareKeys() {
	var wg sync.WaitGroup
	for _, address := range f.callerAddresses {
		for _, key := range f.spareKeys {
			wg.Go(func() {
				for f.sleep(4 * retryInterval) {
					f.sendWithKey(address, key)
				}
			})
		}
	}
	wg.Wait()
}

// sendWithKey sends a request with a spare key and checks that it fails if all hosts must
// enforce the key's withdrawal.
func (f *failureRun) sendWithKey(address, key string) {
	f.mu.Lock()
	acceptedAt, withdrawn := f.withdrawnAt[key]
	f.mu.Unlock()
	mustReject := withdrawn && time.Since(acceptedAt) > withdrawalDeadline
	c := &caller.Caller{Key: key, Client: f.httpClient}
	response, err := c.Send(http.MethodPost, "http://"+address+"/v1/completions", `{"model":"m1","prompt":"x","max_tokens":1}`)
	if err != nil {
		return
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	if response.StatusCode != http.StatusOK {
		return
	}
	f.count("requests with spare keys served")
	if mustReject {
		f.addViolation("host %s served a key %v after its withdrawal was accepted", address, time.Since(acceptedAt))
	}
}
