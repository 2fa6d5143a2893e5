// Command common-3 runs the cases of the third review: each case starts hosts as processes
// with the command of the deploy file, stand-ins of the platform, the replicas and the
// clients, and checks one rule from what these have seen.
package main

import (
	"fmt"
	"os"
)

// Exit statuses of a case.
const (
	statusHeld   = 0
	statusBroken = 1
	statusFailed = 2 // the case could not run
)

// cases are the cases by name.
var cases = map[string]func(*site) (broken bool, err error){
	"leaving":  leavingCase,
	"restart":  restartCase,
	"levels":   levelsCase,
	"comeback": comebackCase,
	"removal":  removalCase,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == replicaCommand {
		os.Exit(runReplica(os.Args[2:]))
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-3 CASE FOLDER")
		os.Exit(statusFailed)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2]))
}

// runCase runs a case, ends all processes that it has started and returns the exit status.
func runCase(run func(*site) (bool, error), folder string) int {
	s, err := newSite(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusFailed
	}
	defer s.close()
	broken, err := run(s)
	switch {
	case err != nil:
		s.note("the case could not run: %v", err)
		return statusFailed
	case broken:
		s.note("result: the rule was broken")
		return statusBroken
	}
	s.note("result: the rule held")
	return statusHeld
}
