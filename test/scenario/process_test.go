package scenario

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/sequoiaroad/sequoiaroad/internal/ctl"
)

type processesKey struct{}

// process is a background process of a script.
type process struct {
	cmd  *exec.Cmd
	log  string
	done chan struct{}
	code int
}

type processTable struct {
	mu      sync.Mutex
	dir     string
	running map[string]*process
	starts  map[string]limitStart
}

func (p *processTable) get(ts *testscript.TestScript, name string) *process {
	p.mu.Lock()
	defer p.mu.Unlock()
	found := p.running[name]
	if found == nil {
		ts.Fatalf("there is no process %s", name)
	}
	return found
}

// killAll ends all processes of the script, by id.
func (p *processTable) killAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, running := range p.running {
		_ = running.cmd.Process.Kill()
		<-running.done
	}
}

func processes(ts *testscript.TestScript) *processTable {
	return ts.Value(processesKey{}).(*processTable)
}

const retryInterval = 50 * time.Millisecond

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

// cmdStart runs "start NAME PROGRAM ARGS..." in the background. A name can be used
// again once its process has ended.
func cmdStart(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: start NAME PROGRAM ARGS...")
	}
	startProcess(ts, args[0], args[1], args[2:]...)
}

// startProcess starts a program that is registered with the script runner.
func startProcess(ts *testscript.TestScript, name, program string, args ...string) {
	table := processes(ts)
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
	log := filepath.Join(table.dir, name+".log")
	file, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	ts.Check(err)
	cmd.Stdout, cmd.Stderr = file, file
	ts.Check(cmd.Start())
	p := &process{cmd: cmd, log: log, done: make(chan struct{})}
	table.mu.Lock()
	old := table.running[name]
	table.running[name] = p
	table.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = file.Close()
		p.code = cmd.ProcessState.ExitCode()
		close(p.done)
	}()
	if old == nil {
		return
	}
	select {
	case <-old.done:
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

// cmdSignal runs "signal NAME KILL|STOP|CONT|TERM". KILL waits for the end.
func cmdSignal(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: signal NAME SIGNAL")
	}
	signal, ok := signals[args[1]]
	if !ok {
		ts.Fatalf("unknown signal %s", args[1])
	}
	p := processes(ts).get(ts, args[0])
	ts.Check(p.cmd.Process.Signal(signal))
	if signal == syscall.SIGKILL {
		<-p.done
	}
}

// cmdExited runs "exited NAME CODE TIMEOUT" and fails unless the process ends in time
// with the code.
func cmdExited(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 3 {
		ts.Fatalf("usage: exited NAME CODE TIMEOUT")
	}
	timeout, err := time.ParseDuration(args[2])
	ts.Check(err)
	p := processes(ts).get(ts, args[0])
	select {
	case <-p.done:
	case <-time.After(timeout):
		ts.Fatalf("process %s did not end within %v", args[0], timeout)
	}
	if strconv.Itoa(p.code) != args[1] {
		ts.Fatalf("process %s ended with code %d\n%s", args[0], p.code, tail(p.log))
	}
}

// cmdWaitFor runs "waitfor TIMEOUT PATTERN PROGRAM ARGS..." again and again until the
// program ends with 0 and its output matches; with "!", until it does not.
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
			ts.Fatalf("not within %v: %v\nstdout: %s\nstderr: %s", timeout, err, output, ts.ReadFile("stderr"))
		}
		time.Sleep(retryInterval)
	}
}

// cmdCapture runs "capture NAME PATTERN" and sets the variable to the first group of
// the pattern in the last standard output.
func cmdCapture(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: capture NAME PATTERN")
	}
	match := regexp.MustCompile(args[1]).FindStringSubmatch(ts.ReadFile("stdout"))
	if len(match) < 2 {
		ts.Fatalf("the output has no match of %s", args[1])
	}
	ts.Setenv(args[0], match[1])
}

// cmdInLog runs "inlog NAME PATTERN" on what a process has printed.
func cmdInLog(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: inlog NAME PATTERN")
	}
	data, err := os.ReadFile(processes(ts).get(ts, args[0]).log)
	ts.Check(err)
	if regexp.MustCompile(args[1]).Match(data) == neg {
		ts.Fatalf("the log of %s: match of %s is %v", args[0], args[1], neg)
	}
}

// cmdWaitLog runs "waitlog NAME PATTERN": it waits until a process has printed it.
func cmdWaitLog(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: waitlog NAME PATTERN")
	}
	path, pattern := processes(ts).get(ts, args[0]).log, regexp.MustCompile(args[1])
	eventually(ts, "the log of "+args[0]+" has "+args[1], func() error {
		data, err := os.ReadFile(path)
		if err == nil && !pattern.Match(data) {
			err = fmt.Errorf("the log is %q", data)
		}
		return err
	})
}

func tail(path string) string {
	const tailBytes = 4096
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Sprint(err)
	}
	return string(data[max(0, len(data)-tailBytes):])
}

// cmdEnded runs "ended NAME TIMEOUT" and fails unless the process ends in time, with
// any code.
func cmdEnded(ts *testscript.TestScript, _ bool, args []string) {
	timeout, err := time.ParseDuration(args[1])
	ts.Check(err)
	select {
	case <-processes(ts).get(ts, args[0]).done:
	case <-time.After(timeout):
		ts.Fatalf("process %s did not end within %v", args[0], timeout)
	}
}

// cmdOneWins runs "onewins NAME NAME" and fails unless one process ended with 0 and
// the other with the exit code for a conflict.
func cmdOneWins(ts *testscript.TestScript, _ bool, args []string) {
	a, b := processes(ts).get(ts, args[0]), processes(ts).get(ts, args[1])
	won, lost := a, b
	if a.code != ctl.ExitOK {
		won, lost = b, a
	}
	if won.code != ctl.ExitOK || lost.code != ctl.ExitConflict {
		ts.Fatalf("exit codes %d and %d\n%s\n%s", a.code, b.code, tail(a.log), tail(b.log))
	}
}

// cmdGrowing runs "growing A B" and fails unless the number B is above A.
func cmdGrowing(ts *testscript.TestScript, _ bool, args []string) {
	a, err := strconv.Atoi(args[0])
	ts.Check(err)
	b, err := strconv.Atoi(args[1])
	ts.Check(err)
	if b <= a {
		ts.Fatalf("%d is not above %d", b, a)
	}
}
