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

// binaries holds waxwingslipd and waxwingslip, built once per run.
var binaries string

// addressTimeout limits how long a process may take to print its addresses.
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
	binaries = dir
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
	// exited is closed when the process has ended; state is set before.
	exited chan struct{}
}

// startProcess starts a binary, reads the line of addresses that it prints first into addresses, and ends the process
// at the end of the test.
func startProcess(t *testing.T, dir, name string, addresses any, binary string, args ...string) *process {
	t.Helper()
	p := &process{name: name, logPath: filepath.Join(dir, name+".log"), exited: make(chan struct{})}
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	p.cmd = exec.Command(filepath.Join(binaries, binary), args...)
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
	t.Cleanup(func() { p.end(t) })
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
func (p *process) waitExit(t *testing.T, limit time.Duration) int {
	t.Helper()
	select {
	case <-p.exited:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(limit):
		t.Fatalf("%s did not end within %s", p.name, limit)
		return -1
	}
}

// end ends the process at the end of a test, fails the test if the race detector reported something, and shows the end
// of the log if the test failed.
func (p *process) end(t *testing.T) {
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
		const shown = 6000
		t.Logf("log of %s (last %d bytes):\n%s", p.name, shown, text[max(0, len(text)-shown):])
	}
}

// eventually waits until check returns true.
func eventually(t *testing.T, limit time.Duration, what string, check func() bool) {
	t.Helper()
	deadline := time.Now().Add(limit)
	for !check() {
		if time.Now().After(deadline) {
			t.Fatalf("not reached within %s: %s", limit, what)
		}
		time.Sleep(50 * time.Millisecond)
	}
}
