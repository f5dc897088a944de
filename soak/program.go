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

// program is one of the real programs. It is restarted whenever its process ends.
type program struct {
	name    string
	binary  string
	args    []string
	logPath string

	mu            sync.Mutex
	cmd           *exec.Cmd
	boot          int  // number of the newest boot, counted from 1
	stopRequested bool // the soak sent this boot SIGTERM or SIGKILL
	startBlocked  bool // must not be started for now
	termSentAt    time.Time
	failures      []string // unexpected exits and failed starts
	killed        bool     // kill was called, so the program must not be started again
}

// restartDelay is the pause between the end of a process and its restart.
const restartDelay = 200 * time.Millisecond

// newProgram writes the settings file of a program and returns the program, which is
// not started yet.
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
		startBlocked := p.startBlocked
		p.mu.Unlock()
		if !startBlocked {
			p.runOnce()
		}
		select {
		case <-ctx.Done():
		case <-time.After(restartDelay):
		}
	}
}

func (p *program) runOnce() {
	logFile, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.recordFailure(fmt.Sprintf("%s: open log: %v", p.name, err))
		return
	}
	defer func() { _ = logFile.Close() }()
	cmd := exec.Command(p.binary, p.args...) //nolint:noctx // ended by signals
	cmd.Stdout, cmd.Stderr = logFile, logFile
	p.mu.Lock()
	if p.killed {
		p.mu.Unlock()
		return
	}
	if err := cmd.Start(); err != nil {
		p.mu.Unlock()
		p.recordFailure(fmt.Sprintf("%s: start: %v", p.name, err))
		return
	}
	p.cmd, p.stopRequested, p.termSentAt = cmd, false, time.Time{}
	p.boot++
	p.mu.Unlock()
	err = cmd.Wait()
	p.mu.Lock()
	stopRequested := p.stopRequested
	p.cmd = nil
	p.mu.Unlock()
	var exitErr *exec.ExitError
	switch {
	case !stopRequested:
		p.recordFailure(fmt.Sprintf("%s exited without a signal from the soak: %v", p.name, err))
	case errors.As(err, &exitErr) && exitErr.Exited():
		p.recordFailure(fmt.Sprintf("%s exited with code %d after SIGTERM or SIGKILL", p.name, exitErr.ExitCode()))
	}
}

func (p *program) recordFailure(failure string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failures = append(p.failures, failure)
}

// signal sends a signal to the current process, if there is one.
func (p *program) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	if sig == syscall.SIGKILL || sig == syscall.SIGTERM {
		p.stopRequested = true
	}
	if sig == syscall.SIGTERM && p.termSentAt.IsZero() {
		p.termSentAt = time.Now()
	}
	// The process may have ended already.
	_ = p.cmd.Process.Signal(sig)
}

// blockStart sets whether the program must not be restarted.
func (p *program) blockStart(startBlocked bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.startBlocked = startBlocked
}

// currentBoot returns the number of the current boot and when it was sent SIGTERM,
// which is zero if it was not.
func (p *program) currentBoot() (boot int, termSentAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.boot, p.termSentAt
}

// kill ends the process and prevents further restarts.
func (p *program) kill() {
	p.mu.Lock()
	p.killed, p.stopRequested = true, true
	cmd := p.cmd
	p.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Signal(syscall.SIGKILL)
	}
}

// peakMemoryMB returns the peak resident set size of the current process, or 0 if
// there is none.
func (p *program) peakMemoryMB() int {
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
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return kb >> 10
		}
	}
	return 0
}
