package main

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const addressTimeout = 20 * time.Second

// process is a child process.
type process struct {
	name   string
	cmd    *exec.Cmd
	exited chan struct{}
}

func (p *process) pid() int { return p.cmd.Process.Pid }

// startProcess starts a binary and decodes the line of addresses that it prints first into addresses.
func (z *zone) startProcess(name string, addresses any, binariesDir, binary string, args ...string) (*process, error) {
	log, err := os.Create(filepath.Join(z.dir, name+".log"))
	if err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}
	defer log.Close()
	p := &process{name: name, exited: make(chan struct{}), cmd: exec.Command(filepath.Join(binariesDir, binary), args...)}
	p.cmd.Stderr = log
	// The child must not outlive this process if this process is killed.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}
	if err := p.cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}
	z.processes = append(z.processes, p)
	line := make(chan []byte, 1)
	go func() {
		defer close(p.exited)
		r := bufio.NewReader(out)
		b, _ := r.ReadBytes('\n')
		line <- b
		_, _ = io.Copy(io.Discard, r)
		_ = p.cmd.Wait()
	}()
	select {
	case b := <-line:
		return p, errors.Wrapf(json.Unmarshal(b, addresses), "%s printed %q instead of its addresses", name, b)
	case <-time.After(addressTimeout):
		return nil, errors.Errorf("%s printed no addresses within %s", name, addressTimeout)
	}
}

// close kills the processes in reverse order of their start and removes the files.
func (z *zone) close() {
	for i := len(z.processes) - 1; i >= 0; i-- {
		_ = z.processes[i].cmd.Process.Kill()
		<-z.processes[i].exited
	}
	_ = os.RemoveAll(z.dir)
}
