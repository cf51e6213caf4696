package e2e

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// binariesDir is the directory of waxwingslipd and waxwingslip, which are built once per run.
var binariesDir string

// addressTimeout limits the time until a process prints its addresses.
const addressTimeout = 20 * time.Second

func TestMain(m *testing.M) {
	code, err := runTests(m)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}

func runTests(m *testing.M) (int, error) {
	dir, err := os.MkdirTemp("", "waxwingslip-e2e-")
	if err != nil {
		return 1, err
	}
	defer os.RemoveAll(dir)
	binariesDir = dir
	args := []string{"build", "-o", dir + string(filepath.Separator)}
	if raceDetector {
		args = append(args, "-race")
	}
	build := exec.Command("go", append(args, "../waxwingslipd", "../waxwingslip")...)
	if out, err := build.CombinedOutput(); err != nil {
		return 1, fmt.Errorf("build the binaries: %w\n%s", err, out)
	}
	code := m.Run()
	http.DefaultClient.CloseIdleConnections()
	if err := goleak.Find(); code == 0 && err != nil {
		return 1, err
	}
	return code, nil
}

// process is a process that the test started and may signal.
type process struct {
	name    string
	cmd     *exec.Cmd
	logPath string
	// exited is closed after the process has ended and cmd.ProcessState is set.
	exited chan struct{}
}

// startProcess starts a binary, decodes the line of addresses that it prints first into addresses, and ends the process
// at the end of the test.
func startProcess(t *testing.T, dir, name string, addresses any, binary string, args ...string) *process {
	t.Helper()
	p := &process{name: name, logPath: filepath.Join(dir, name+".log"), exited: make(chan struct{})}
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	p.cmd = exec.Command(filepath.Join(binariesDir, binary), args...)
	p.cmd.Stderr = log
	// The process must not outlive a test binary that is killed at its time limit.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatalf("start %s: %v", name, err)
	}
	lines := make(chan []byte, 1)
	go func() {
		defer close(p.exited)
		r := bufio.NewReader(out)
		line, _ := r.ReadBytes('\n')
		lines <- line
		_, _ = io.Copy(io.Discard, r)
		_ = p.cmd.Wait()
	}()
	t.Cleanup(func() { p.cleanUp(t) })
	select {
	case line := <-lines:
		if err := json.Unmarshal(line, addresses); err != nil {
			text, _ := os.ReadFile(p.logPath)
			t.Fatalf("%s printed %q instead of its addresses: %v\n%s", name, line, err, text)
		}
	case <-time.After(addressTimeout):
		t.Fatalf("%s printed no addresses within %s", name, addressTimeout)
	}
	return p
}

// signal sends a signal to the process.
func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Fatalf("%s to %s: %v", s, p.name, err)
	}
}

// kill ends the process with SIGKILL and waits for its end.
func (p *process) kill(t *testing.T) {
	t.Helper()
	p.signal(t, syscall.SIGKILL)
	p.waitExit(t, 10*time.Second)
}

// waitExit waits until the process has ended and returns its exit code.
func (p *process) waitExit(t *testing.T, timeout time.Duration) int {
	t.Helper()
	select {
	case <-p.exited:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(timeout):
		t.Fatalf("%s did not end within %s", p.name, timeout)
		return -1
	}
}

// cleanUp kills the process at the end of a test, fails the test if the race detector reported something, and logs
// the last part of the process's log if the test failed.
func (p *process) cleanUp(t *testing.T) {
	select {
	case <-p.exited:
	default:
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
	text, _ := os.ReadFile(p.logPath)
	if i := bytes.Index(text, []byte("DATA RACE")); i >= 0 {
		t.Errorf("%s has a data race:\n%.4000s", p.name, text[i:])
	}
	if t.Failed() {
		const shownBytes = 6000
		t.Logf("log of %s (last %d bytes):\n%s", p.name, shownBytes, text[max(0, len(text)-shownBytes):])
	}
}

// eventually waits until check returns true, and fails the test after timeout.
func eventually(t *testing.T, timeout time.Duration, condition string, check func() bool) {
	t.Helper()
	deadline := time.Now().Add(timeout)
	for !check() {
		if time.Now().After(deadline) {
			t.Fatalf("not reached within %s: %s", timeout, condition)
		}
		time.Sleep(50 * time.Millisecond)
	}
}
