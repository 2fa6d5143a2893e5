// Package scenario runs scripts that test the router, the operators' tool and stand-ins as
// separate processes on loopback addresses.
package scenario

import (
	"fmt"
	"hash/fnv"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/sequoiaroad/sequoiaroad/internal/command"
	"github.com/sequoiaroad/sequoiaroad/internal/ctl"
	"github.com/sequoiaroad/sequoiaroad/standin/caller"
	"github.com/sequoiaroad/sequoiaroad/standin/program"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"sequoiaroad":      func() { os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr)) },
		"sequoiaroadctl":   func() { os.Exit(ctl.Main(os.Args[1:], os.Stdout, os.Stderr)) },
		"platform-standin": program.Platform,
		"engine-standin":   program.Engine,
		"service-standin":  program.Service,
		"network-standin":  program.Network,
		"caller":           caller.Main,
	})
}

// Runs each script of testdata. The comment at the head of a script says which failure it
// guards against.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		Setup:               setup,
		Cmds:                scriptCommands(),
		RequireExplicitExec: true,
	})
}

// setup gives each script its own loopback addresses, so that scripts can run concurrently
// on fixed ports.
func setup(env *testscript.Env) error {
	h := fnv.New32a()
	_, _ = fmt.Fprintf(h, "%d %s", os.Getpid(), env.WorkDir)
	sum := h.Sum32()
	env.Setenv("NET", fmt.Sprintf("127.%d.%d", 16+sum%200, sum>>8%250))
	env.Setenv("SEQUOIAROAD_FLEET_SECRET", "scenario-secret-0123456789")
	env.Setenv("HOME", env.WorkDir)
	table := &processTable{processes: map[string]*process{}, tokenSnapshots: map[string]tokenSnapshot{}, logDir: env.WorkDir}
	env.Values[processTableKey{}] = table
	env.Defer(table.killAll)
	return nil
}
