package scenario

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	// faultPeriod is the time after which all faults are over.
	faultPeriod = 25 * time.Second
	// meanFaultInterval is the mean time between the starts of two faults.
	meanFaultInterval = 1200 * time.Millisecond
	// maxExtraDuration bounds the random time that a fault lasts beyond 300 ms.
	maxExtraDuration = 4 * time.Second
)

// faultEvent is the start or the end of a fault.
type faultEvent struct {
	at   time.Duration
	end  bool
	kind string
	arg  string // depends on kind: a process name, a host number, or the faults of the store
}

// faultKinds lists the kinds of fault with their possible arguments. Two faults of the
// same process, of the store or of the network don't overlap.
var faultKinds = []struct {
	kind string
	args []string
}{
	{"kill", []string{"h1", "h2", "h3", "e1", "e2"}},
	{"pause", []string{"h1", "h2", "h3", "e1", "e2"}},
	{"isolate", []string{"1", "2", "3"}},
	{"store", []string{
		`{"outage":"drop"}`, `{"outage":"unavailable"}`, `{"delay_ns":300000000}`, `{"delay_ns":1000000000}`,
		`{"lose_answers":3}`, `{"lose_answers":-1}`, `{"late_writes":3,"late_by_ns":1500000000}`,
	}},
}

// planFaults returns the faults of a run, in the order of time.
func planFaults(seed uint64) []faultEvent {
	random := rand.New(rand.NewPCG(seed, 0))
	freeAt := map[string]time.Duration{}
	var plan []faultEvent
	for at := time.Second; at < faultPeriod; at += meanFaultInterval/2 + randomDuration(random, meanFaultInterval) {
		fault := faultKinds[random.IntN(len(faultKinds))]
		arg := fault.args[random.IntN(len(fault.args))]
		duration := 300*time.Millisecond + randomDuration(random, maxExtraDuration)
		resource := arg
		if fault.kind == "store" || fault.kind == "isolate" {
			resource = fault.kind // the end of such a fault ends all faults of its kind
		}
		if at < freeAt[resource] {
			continue
		}
		end := min(at+duration, faultPeriod)
		freeAt[resource] = end + meanFaultInterval
		plan = append(plan, faultEvent{at, false, fault.kind, arg}, faultEvent{end, true, fault.kind, arg})
	}
	slices.SortStableFunc(plan, func(a, b faultEvent) int { return int(a.at - b.at) })
	return plan
}

// inject starts or ends a fault. It must run on the script's goroutine, since it uses ts.
func (f *failureRun) inject(ts *testscript.TestScript, e faultEvent) {
	ts.Logf("%6.2f s %s %s end=%v", e.at.Seconds(), e.kind, e.arg, e.end)
	switch e.kind {
	case "kill":
		if !e.end {
			cmdSignal(ts, false, []string{e.arg, "KILL"})
		} else if number, isHost := strings.CutPrefix(e.arg, "h"); isHost {
			cmdHost(ts, false, []string{number})
		} else {
			startEngine(ts, e.arg, []string{"--token-delay", "5ms", "--any-resume"})
		}
	case "pause":
		signal := "STOP"
		if e.end {
			signal = "CONT"
		}
		cmdSignal(ts, false, []string{e.arg, signal})
	case "isolate":
		path := "/isolate?host=" + e.arg
		if e.end {
			path = "/heal"
		}
		ts.Check(sendRequest(http.MethodPost, f.networkURL+path, ""))
	case "store":
		faults := e.arg
		if e.end {
			faults = "{}"
		}
		ts.Check(sendRequest(http.MethodPut, f.storeURL+"/v1/faults", faults))
	}
}

// sendRequest sends a request and returns an error unless the status is 200.
func sendRequest(method, url, body string) error {
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}

// randomDuration returns a random duration below a limit.
func randomDuration(random *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(limit)))
}
