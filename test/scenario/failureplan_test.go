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
	failureTime = 25 * time.Second
	// failureStep is the mean time between two failures; each lasts at most a bit longer than failureLength.
	failureStep   = 1200 * time.Millisecond
	failureLength = 4 * time.Second
)

// failureStage is the begin or the end of one failure.
type failureStage struct {
	at     time.Duration
	end    bool
	kind   string
	target string // a process, the number of a host, or the faults of the store
}

// failureKinds names the kinds of failure and the things that they happen to. Two
// failures of one thing don't overlap.
var failureKinds = []struct {
	kind   string
	things []string
}{
	{"kill", []string{"h1", "h2", "h3", "e1", "e2"}},
	{"freeze", []string{"h1", "h2", "h3", "e1", "e2"}},
	{"isolate", []string{"1", "2", "3"}},
	{"store", []string{
		`{"outage":"drop"}`, `{"outage":"unavailable"}`, `{"delay_ns":300000000}`, `{"delay_ns":1000000000}`,
		`{"lose_answers":3}`, `{"lose_answers":-1}`, `{"late_writes":3,"late_by_ns":1500000000}`,
	}},
}

// planFailures decides on all failures of a run.
func planFailures(seed uint64) []failureStage {
	random := rand.New(rand.NewPCG(seed, 0))
	free := map[string]time.Duration{}
	var plan []failureStage
	for at := time.Second; at < failureTime; at += failureStep/2 + below(random, failureStep) {
		k := failureKinds[random.IntN(len(failureKinds))]
		target := k.things[random.IntN(len(k.things))]
		length := 300*time.Millisecond + below(random, failureLength)
		thing := target
		if k.kind == "store" || k.kind == "isolate" {
			thing = k.kind // a heal restores all links
		}
		if at < free[thing] {
			continue
		}
		until := min(at+length, failureTime)
		free[thing] = until + failureStep
		plan = append(plan, failureStage{at, false, k.kind, target}, failureStage{until, true, k.kind, target})
	}
	slices.SortStableFunc(plan, func(a, b failureStage) int { return int(a.at - b.at) })
	return plan
}

// inject carries out one stage. It runs on the script's goroutine.
func (f *failureRun) inject(ts *testscript.TestScript, s failureStage) {
	ts.Logf("%6.2f s %s %s end=%v", s.at.Seconds(), s.kind, s.target, s.end)
	switch s.kind {
	case "kill":
		if !s.end {
			cmdSignal(ts, false, []string{s.target, "KILL"})
		} else if number, isHost := strings.CutPrefix(s.target, "h"); isHost {
			cmdHost(ts, false, []string{number})
		} else {
			startEngine(ts, s.target, []string{"--token-delay", "5ms", "--any-resume"})
		}
	case "freeze":
		signal := "STOP"
		if s.end {
			signal = "CONT"
		}
		cmdSignal(ts, false, []string{s.target, signal})
	case "isolate":
		path := "/isolate?host=" + s.target
		if s.end {
			path = "/heal"
		}
		ts.Check(send(http.MethodPost, f.network+path, ""))
	case "store":
		faults := s.target
		if s.end {
			faults = "{}"
		}
		ts.Check(send(http.MethodPut, f.store+"/v1/faults", faults))
	}
}

func send(method, url, body string) error {
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

// below returns a random duration below a limit.
func below(random *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(limit)))
}
