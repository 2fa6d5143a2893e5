package scenario

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/sequoiaroad/sequoiaroad/internal/ctl"
)

// processTableKey is the key of the process table among the values of a script.
type processTableKey struct{}

// process is a background process of a script. exitCode is valid once exited is closed.
type process struct {
	cmd      *exec.Cmd
	logFile  string
	exited   chan struct{}
	exitCode int
}

// processTable holds the processes of a script by name, including those that have exited.
type processTable struct {
	mu             sync.Mutex
	logDir         string
	processes      map[string]*process
	tokenSnapshots map[string]tokenSnapshot
}

func (p *processTable) get(ts *testscript.TestScript, name string) *process {
	p.mu.Lock()
	defer p.mu.Unlock()
	proc := p.processes[name]
	if proc == nil {
		ts.Fatalf("process %s was not started", name)
	}
	return proc
}

// killAll kills the processes that the script started, and no others, and waits for them.
func (p *processTable) killAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, proc := range p.processes {
		_ = proc.cmd.Process.Kill()
		<-proc.exited
	}
}

func processTableOf(ts *testscript.TestScript) *processTable {
	return ts.Value(processTableKey{}).(*processTable)
}

// retryInterval is the pause between two attempts or checks.
const retryInterval = 50 * time.Millisecond

// scriptCommands returns the commands that scripts can use in addition to the standard
// ones.
func scriptCommands() map[string]func(ts *testscript.TestScript, neg bool, args []string) {
	return map[string]func(ts *testscript.TestScript, neg bool, args []string){
		"fleet":      cmdFleet,
		"host":       cmdHost,
		"busyengine": cmdBusyEngine,
		"otherbusy":  cmdOtherBusy,
		"engine":     cmdEngine,
		"start":      cmdStart,
		"maxloads":   cmdMaxLoads,
		"signal":     cmdSignal,
		"exited":     cmdExited,
		"waitfor":    cmdWaitFor,
		"capture":    cmdCapture,
		"inlog":      cmdInLog,
		"waitlog":    cmdWaitLog,
		"failures":   cmdFailures,
		"ownerof":    cmdOwnerOf,
		"waitclaim":  cmdWaitClaim,
		"ended":      cmdEnded, "onewins": cmdOneWins, "growing": cmdGrowing,
		"tokens": cmdTokens, "withinlimit": cmdWithinLimit, "longprompt": cmdLongPrompt,
	}
}

// cmdStart runs "start NAME PROGRAM ARGS...": it starts a program in the background. A
// name can be reused once its process has exited.
func cmdStart(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: start NAME PROGRAM ARGS...")
	}
	startProcess(ts, args[0], args[1], args[2:]...)
}

// startProcess starts a program that is registered with the script runner.
func startProcess(ts *testscript.TestScript, name, program string, args ...string) {
	table := processTableOf(ts)
	path := ""
	for _, dir := range filepath.SplitList(ts.Getenv("PATH")) {
		if candidate := filepath.Join(dir, program); isFile(candidate) {
			path = candidate
			break
		}
	}
	cmd := exec.Command(path, args...)
	cmd.Dir = ts.Getenv("WORK")
	for _, variable := range []string{"PATH", "HOME", "TMPDIR", "NET", "SEQUOIAROAD_FLEET_SECRET", "SEQUOIAROADCTL_KEY", "SEQUOIAROADCTL_ADDRESS"} {
		cmd.Env = append(cmd.Env, variable+"="+ts.Getenv(variable))
	}
	logFile := filepath.Join(table.logDir, name+".log")
	file, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	ts.Check(err)
	cmd.Stdout, cmd.Stderr = file, file
	ts.Check(cmd.Start())
	p := &process{cmd: cmd, logFile: logFile, exited: make(chan struct{})}
	table.mu.Lock()
	previous := table.processes[name]
	table.processes[name] = p
	table.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = file.Close()
		p.exitCode = cmd.ProcessState.ExitCode()
		close(p.exited)
	}()
	if previous == nil {
		return
	}
	select {
	case <-previous.exited:
	default:
		ts.Fatalf("process %s is still running", name)
	}
}

func isFile(path string) bool {
	info, err := os.Stat(path)
	return err == nil && info.Mode().IsRegular()
}

var signals = map[string]syscall.Signal{
	"KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "TERM": syscall.SIGTERM,
}

// cmdSignal runs "signal NAME KILL|STOP|CONT|TERM": it sends a signal to a process. After
// KILL it waits until the process has exited.
func cmdSignal(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: signal NAME SIGNAL")
	}
	signal, ok := signals[args[1]]
	if !ok {
		ts.Fatalf("unknown signal %s", args[1])
	}
	p := processTableOf(ts).get(ts, args[0])
	err := p.cmd.Process.Signal(signal)
	if errors.Is(err, os.ErrProcessDone) {
		<-p.exited
		ts.Fatalf("process %s exited with code %d before signal %s\n%s", args[0], p.exitCode, args[1], tail(p.logFile))
	}
	ts.Check(err)
	if signal == syscall.SIGKILL {
		<-p.exited
	}
}

// cmdExited runs "exited NAME CODE TIMEOUT": it fails unless the process exits with the
// code within the timeout.
func cmdExited(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 3 {
		ts.Fatalf("usage: exited NAME CODE TIMEOUT")
	}
	timeout, err := time.ParseDuration(args[2])
	ts.Check(err)
	p := processTableOf(ts).get(ts, args[0])
	select {
	case <-p.exited:
	case <-time.After(timeout):
		ts.Fatalf("process %s did not exit within %v", args[0], timeout)
	}
	if strconv.Itoa(p.exitCode) != args[1] {
		ts.Fatalf("process %s exited with code %d\n%s", args[0], p.exitCode, tail(p.logFile))
	}
}

// cmdWaitFor runs "waitfor TIMEOUT PATTERN PROGRAM ARGS...": it repeats the program until
// it exits with 0 and its output matches. With "!" it repeats the program until it fails
// or its output does not match.
func cmdWaitFor(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) < 3 {
		ts.Fatalf("usage: waitfor TIMEOUT PATTERN PROGRAM ARGS...")
	}
	timeout, err := time.ParseDuration(args[0])
	ts.Check(err)
	pattern, err := regexp.Compile("(?s)" + args[1])
	ts.Check(err)
	deadline := time.Now().Add(timeout)
	for {
		err := ts.Exec(args[2], args[3:]...)
		output := ts.ReadFile("stdout")
		matched := err == nil && pattern.MatchString(output)
		if matched != neg {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("condition not met within %v: %v\nstdout: %s\nstderr: %s\n%s", timeout, err, output, ts.ReadFile("stderr"), processTableOf(ts).tails())
		}
		time.Sleep(retryInterval)
	}
}

// cmdCapture runs "capture NAME PATTERN": it sets the variable to the pattern's first
// group in the standard output of the last command.
func cmdCapture(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: capture NAME PATTERN")
	}
	match := regexp.MustCompile(args[1]).FindStringSubmatch(ts.ReadFile("stdout"))
	if len(match) < 2 {
		ts.Fatalf("the output does not match %s", args[1])
	}
	ts.Setenv(args[0], match[1])
}

// cmdInLog runs "inlog NAME PATTERN": it fails unless the output of a process matches.
// With "!" it fails if the output matches.
func cmdInLog(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: inlog NAME PATTERN")
	}
	data, err := os.ReadFile(processTableOf(ts).get(ts, args[0]).logFile)
	ts.Check(err)
	if regexp.MustCompile(args[1]).Match(data) == neg {
		ts.Fatalf("log of %s: matches %s: %v", args[0], args[1], neg)
	}
}

// cmdWaitLog runs "waitlog NAME PATTERN": it waits until the output of a process matches.
func cmdWaitLog(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: waitlog NAME PATTERN")
	}
	path, pattern := processTableOf(ts).get(ts, args[0]).logFile, regexp.MustCompile(args[1])
	eventually(ts, "the log of "+args[0]+" matches "+args[1], func() error {
		data, err := os.ReadFile(path)
		if err == nil && !pattern.Match(data) {
			err = fmt.Errorf("the log is %q", data)
		}
		return err
	})
}

// tails returns the ends of the logs of all processes.
func (t *processTable) tails() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out strings.Builder
	for _, name := range slices.Sorted(maps.Keys(t.processes)) {
		fmt.Fprintf(&out, "log of %s:\n%s\n", name, tail(t.processes[name].logFile))
	}
	return out.String()
}

// tail returns the last 4 KiB of a file.
func tail(path string) string {
	const tailBytes = 4096
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Sprint(err)
	}
	return string(data[max(0, len(data)-tailBytes):])
}

// cmdEnded runs "ended NAME TIMEOUT": it fails unless the process exits within the
// timeout, with any code.
func cmdEnded(ts *testscript.TestScript, _ bool, args []string) {
	timeout, err := time.ParseDuration(args[1])
	ts.Check(err)
	select {
	case <-processTableOf(ts).get(ts, args[0]).exited:
	case <-time.After(timeout):
		ts.Fatalf("process %s did not exit within %v", args[0], timeout)
	}
}

// cmdOneWins runs "onewins NAME NAME": it fails unless one process exited with 0 and the
// other with the exit code for a conflict.
func cmdOneWins(ts *testscript.TestScript, _ bool, args []string) {
	a, b := processTableOf(ts).get(ts, args[0]), processTableOf(ts).get(ts, args[1])
	winner, loser := a, b
	if a.exitCode != ctl.ExitOK {
		winner, loser = b, a
	}
	if winner.exitCode != ctl.ExitOK || loser.exitCode != ctl.ExitConflict {
		ts.Fatalf("exit codes %d and %d\n%s\n%s", a.exitCode, b.exitCode, tail(a.logFile), tail(b.logFile))
	}
}

// cmdGrowing runs "growing A B": it fails unless the number B is greater than A.
func cmdGrowing(ts *testscript.TestScript, _ bool, args []string) {
	a, err := strconv.Atoi(args[0])
	ts.Check(err)
	b, err := strconv.Atoi(args[1])
	ts.Check(err)
	if b <= a {
		ts.Fatalf("%d is not greater than %d", b, a)
	}
}
