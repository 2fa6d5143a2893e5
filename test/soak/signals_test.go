package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a SIGHUP that ends a process which has not read its settings yet. The
// settings file is a named pipe, so that the signal arrives before the process can read
// them.
func TestReloadDuringStartup(t *testing.T) {
	g := NewWithT(t)
	program := buildProgram(t)
	pipe := filepath.Join(t.TempDir(), "settings.json")
	g.Expect(syscall.Mkfifo(pipe, 0o600)).To(Succeed())
	cmd := exec.Command(program, "route", "--node-file", pipe)
	cmd.Env = append(os.Environ(), "SEQUOIAROAD_FLEET_SECRET=a-secret-for-the-soak")
	g.Expect(cmd.Start()).To(Succeed())
	exited := make(chan string, 1)
	go func() { _ = cmd.Wait(); exited <- cmd.ProcessState.String() }()
	writer, err := os.OpenFile(pipe, os.O_WRONLY, 0) // returns once the process has opened the pipe
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(cmd.Process.Signal(syscall.SIGHUP)).To(Succeed())
	g.Consistently(exited, 200*time.Millisecond).ShouldNot(Receive())
	g.Expect(writer.Close()).To(Succeed())
	g.Eventually(exited, 5*time.Second).Should(Receive(Equal("exit status 1"))) // the file is empty
}
