package scenario

import (
	"os"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// failureSeeds are the seeds of each test run; FAILURE_SEEDS names others, separated by
// commas.
const failureSeeds = "1,2"

// Guards against failures of a fleet under a sequence of faults that a seed decides on;
// see testdata/failures/run.txtar and cmdFailures for what is checked.
func TestSeededFailures(t *testing.T) {
	seeds := os.Getenv("FAILURE_SEEDS")
	if seeds == "" {
		seeds = failureSeeds
	}
	for seed := range strings.SplitSeq(seeds, ",") {
		t.Run(seed, func(t *testing.T) {
			t.Parallel()
			testscript.Run(t, testscript.Params{
				Files: []string{"testdata/failures/run.txtar"},
				Setup: func(env *testscript.Env) error {
					env.Setenv("SEED", seed)
					return setup(env)
				},
				Cmds:                scriptCommands(),
				RequireExplicitExec: true,
			})
		})
	}
}
