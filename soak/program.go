package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// program is one of the real programs, started again whenever it has ended.
type program struct {
	name    string
	binary  string
	args    []string
	logPath string

	mu      sync.Mutex
	cmd     *exec.Cmd
	boot    int
	asked   bool // the soak has ended this boot
	held    bool // not to be started now
	leaving time.Time
	exits   []string // ends of its own
	stopped bool
}

// restartPause is the time from the end of a process to its next start.
const restartPause = 200 * time.Millisecond

// newProgram writes the settings of a program and returns it.
func newProgram(dir, binary, role, name string, settings any) (*program, error) {
	b, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode settings of %s: %w", name, err)
	}
	path := filepath.Join(dir, name+".json")
	if err := os.WriteFile(path, b, 0o600); err != nil {
		return nil, fmt.Errorf("write settings of %s: %w", name, err)
	}
	return &program{
		name: name, binary: binary, args: []string{role, "--settings", path}, logPath: filepath.Join(dir, name+".log"),
	}, nil
}

// run keeps the program running until ctx ends.
func (p *program) run(ctx context.Context) {
	for ctx.Err() == nil {
		p.mu.Lock()
		held := p.held
		p.mu.Unlock()
		if !held {
			p.runOnce()
		}
		select {
		case <-ctx.Done():
		case <-time.After(restartPause):
		}
	}
}

func (p *program) runOnce() {
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.note(fmt.Sprintf("%s: open log: %v", p.name, err))
		return
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(p.binary, p.args...) //nolint:noctx // ended by signals
	cmd.Stdout, cmd.Stderr = log, log
	p.mu.Lock()
	if p.stopped {
		p.mu.Unlock()
		return
	}
	if err := cmd.Start(); err != nil {
		p.mu.Unlock()
		p.note(fmt.Sprintf("%s: start: %v", p.name, err))
		return
	}
	p.cmd, p.asked, p.leaving = cmd, false, time.Time{}
	p.boot++
	p.mu.Unlock()
	err = cmd.Wait()
	p.mu.Lock()
	asked := p.asked
	p.cmd = nil
	p.mu.Unlock()
	var exit *exec.ExitError
	switch {
	case !asked:
		p.note(fmt.Sprintf("%s ended by itself: %v", p.name, err))
	case errors.As(err, &exit) && exit.Exited():
		p.note(fmt.Sprintf("%s ended with code %d when it was asked to leave", p.name, exit.ExitCode()))
	}
}

func (p *program) note(s string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.exits = append(p.exits, s)
}

// signal sends a signal to the present process, if there is one.
func (p *program) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	if sig == syscall.SIGKILL || sig == syscall.SIGTERM {
		p.asked = true
	}
	if sig == syscall.SIGTERM && p.leaving.IsZero() {
		p.leaving = time.Now()
	}
	// The process may have ended already.
	_ = p.cmd.Process.Signal(sig)
}

// hold keeps the program from being started again, or lets it.
func (p *program) hold(held bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held = held
}

// life returns the number of the present boot, and when it was asked to leave.
func (p *program) life() (boot int, leaving time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.boot, p.leaving
}

// end ends the program for good.
func (p *program) end() {
	p.mu.Lock()
	p.stopped, p.asked = true, true
	cmd := p.cmd
	p.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Signal(syscall.SIGKILL)
	}
}

// memoryMB returns the peak resident set of the present process, or 0.
func (p *program) memoryMB() int {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	if cmd == nil {
		return 0
	}
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(b)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb >> 10
		}
	}
	return 0
}
