//go:build review3

package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
)

// binary is the program that the build of the deploy file makes.
const binary = "target/medlargrade"

// program is one process of the project.
type program struct {
	name string
	args []string
	log  *os.File
	cmd  *exec.Cmd
}

// newProgram writes the settings of a program, which is not started yet.
func newProgram(dir, role, name string, settings map[string]any) (*program, error) {
	b, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode settings of %s: %w", name, err)
	}
	path := filepath.Join(dir, name+".json")
	if err := os.WriteFile(path, b, 0o600); err != nil {
		return nil, fmt.Errorf("write settings of %s: %w", name, err)
	}
	f, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open log of %s: %w", name, err)
	}
	return &program{name: name, args: []string{role, "--settings", path}, log: f}, nil
}

func (p *program) start() error {
	p.cmd = exec.Command(binary, p.args...)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	return nil
}

// signal sends a signal to the process, which has been started and not yet waited for.
func (p *program) signal(sig syscall.Signal) { _ = p.cmd.Process.Signal(sig) }

// kill ends the process and waits for its end.
func (p *program) kill() {
	if p.cmd == nil || p.cmd.ProcessState != nil {
		return
	}
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	_ = p.cmd.Wait()
}
