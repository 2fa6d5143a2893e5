// Command review-2 runs the scripted cases of the second review. Each case starts hosts as
// separate processes, with the command of the deploy file, and meets them with stand-ins of
// the platform's store, of replicas and of clients in this process.
//
// The exit status is 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	exitHeld     = 0
	exitBroken   = 1
	exitNotRun   = 2
	caseDeadline = 100 * time.Second
)

// cases are the cases by name.
var cases = map[string]func(w *world) (broken bool, err error){
	"keys":    runKeys,
	"crash":   runCrash,
	"pause":   runPause,
	"resumed": runResumed,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) == 3 && args[0] == "engine" {
		return serveEngine(args[1], args[2])
	}
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER")
		return exitNotRun
	}
	rec, err := newRecord(filepath.Join(args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "review-2:", err)
		return exitNotRun
	}
	defer rec.close()
	w := newWorld(rec, os.Getenv("TROUBLE") != "0")
	defer w.close()
	// The hosts end with this process.
	time.AfterFunc(caseDeadline, func() {
		rec.note("the case did not end in time")
		rec.close()
		os.Exit(exitNotRun)
	})
	broken, err := cases[args[0]](w)
	switch {
	case err != nil:
		rec.note("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, "review-2:", err)
		return exitNotRun
	case broken:
		rec.note("the rule was broken")
		return exitBroken
	}
	rec.note("the rule held")
	return exitHeld
}
