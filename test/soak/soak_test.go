package soak

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

var (
	firstSeed = flag.Uint64("soak.seed", 1, "first seed")
	seedCount = flag.Int("soak.seeds", 2, "number of seeds")
	length    = flag.Duration("soak.length", 4*time.Second, "time in which faults begin")
	hostCount = flag.Int("soak.hosts", 4, "number of hosts")
	perSecond = flag.Int("soak.rate", 60, "requests a second")
	logDir    = flag.String("soak.logs", "", "directory that keeps the logs of seeds that fail; empty keeps none")
)

const (
	// startLimit is how long hosts may take to serve after a start.
	startLimit = 8 * time.Second
	// recoverLimit is how long hosts may take to serve after the last fault.
	recoverLimit = 15 * time.Second
	// recoveredShare of the requests after that are answered with success.
	recoveredShare = 0.95
)

// regressions are seeds that failed once, each with its cause.
var regressions = []uint64{
	101, // SIGTERM before the runtime of the process was up
	116, // SIGHUP before the process had a handler for it, which ended it
	119, // as 116
}

func buildProgram(t *testing.T) string {
	program := filepath.Join(t.TempDir(), "sequoiaroad")
	build := exec.Command("go", "build", "-o", program, "../../cmd/sequoiaroad")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return program
}

// Guards the promises to callers and targets while processes, links, the store and
// targets fail in series and together.
func TestSoak(t *testing.T) {
	program := buildProgram(t)
	seeds := append([]uint64(nil), regressions...)
	for i := range *seedCount {
		seeds = append(seeds, *firstSeed+uint64(i))
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { soak(t, program, seed) })
	}
}

func soak(t *testing.T, program string, seed uint64) {
	logs := t.TempDir()
	if *logDir != "" {
		logs = filepath.Join(*logDir, fmt.Sprint(seed))
		if err := os.MkdirAll(logs, 0o700); err != nil {
			t.Fatal(err)
		}
	}
	in, err := install(program, logs, *hostCount)
	defer in.close()
	if err != nil {
		t.Fatal(err)
	}
	in.awaitReady(startLimit)
	c := newCallers(in)
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		c.run(seed, *perSecond, stop)
	}()
	inject(in.schedule(program, seed, *length), func(line string) { t.Log(line) })
	in.awaitReady(recoverLimit)
	close(stop)
	<-done
	in.checkRecovery(c)
	in.check(c.sent)
	for _, f := range in.findings {
		t.Error(f)
	}
	if !t.Failed() && *logDir != "" {
		_ = os.RemoveAll(logs)
	}
}

// checkRecovery sends requests to all hosts after the last fault and checks that they
// are served.
func (in *installation) checkRecovery(c *callers) {
	deadline := time.Now().Add(recoverLimit)
	for {
		good, all := 0, 0
		for _, n := range in.nodes {
			for kind := range kinds {
				all++
				if q := c.send(n, kind, 1); q.status == http.StatusOK && q.err == nil {
					good++
				}
			}
		}
		if float64(good) >= recoveredShare*float64(all) {
			return
		}
		if time.Now().After(deadline) {
			in.report("%d of %d requests are served %v after the last fault", good, all, recoverLimit)
			return
		}
	}
}
