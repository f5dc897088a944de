package soak

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/medlargrade/medlargrade/coordination/shard"
	"github.com/medlargrade/medlargrade/process"
	"github.com/medlargrade/medlargrade/standin/worker"
)

// busyPlanner returns the machine of the process that plans, once its worker runs a task, or after
// plannerBusyWait. It returns nil if no process plans.
func (s *site) busyPlanner() *machine {
	for deadline := time.Now().Add(plannerBusyWait); time.Now().Before(deadline); time.Sleep(plannerBusyPoll) {
		if i := s.plannerIndex(); i >= 0 && len(s.workers[i].RunningTasks()) > 0 {
			return s.targets[i]
		}
	}
	if i := s.plannerIndex(); i >= 0 {
		return s.targets[i]
	}
	return nil
}

// plannerIndex returns the index of the target whose process plans, by the store, or -1.
func (s *site) plannerIndex() int {
	value, ok := s.platform.Value(shard.TableShard, process.ShardPart, shard.OwnerKey)
	if !ok {
		return -1
	}
	row, err := shard.DecodeOwner(value)
	if err != nil {
		return -1
	}
	return slices.IndexFunc(s.targets, func(m *machine) bool { return m.program.name == row.Name })
}

// cutOffPlanner cuts the process that plans off from the store and all other processes, and
// returns the function that ends that. Connections to and from it are reset, and new ones to it are
// refused. It keeps its connections to its own agent and to its worker, so that it can go on to
// extend the leases there. In one variant of four it is also stopped for a part of the time, in
// another one its successor is, and in a third one it is killed and started again behind the cut, while
// calls of its first seconds to its worker are still carried out.
func (s *site) cutOffPlanner(f fault) (end func()) {
	m := s.busyPlanner()
	if m == nil {
		return func() {}
	}
	fromPlanner := m.program.owns
	ends := []func(){
		m.store.Impose(linkFault{state: linkRefuse}),
		m.agent.Impose(linkFault{state: linkRefuse, affects: func(client net.Conn) bool { return !fromPlanner(client) }}),
	}
	for _, other := range s.targets {
		if other != m {
			ends = append(ends, other.agent.Impose(linkFault{state: linkReset, affects: fromPlanner}))
		}
	}
	// The stop begins while the process may still extend leases, and ends before the cut does.
	stop := time.Duration(f.selector) * plannerStopWithin / maxSelector
	length := f.duration / 4
	switch f.variant % plannerCutVariants {
	case variantKilled:
		ends = append(ends, s.killAfterLateCalls(m, stop))
	case variantStopped:
		ends = append(ends, stopAfter(stop, length, func() *program { return m.program }))
	case variantSuccessorStopped:
		ends = append(ends, stopAfter(stop, length, func() *program {
			if i := s.plannerIndex(); i >= 0 && s.targets[i] != m {
				return s.targets[i].program
			}
			return nil
		}))
	}
	return callAll(ends)
}

// killAfterLateCalls makes the calls of a target to its worker late for a while, with leases that count
// from their execution, and kills the target's process after that and at least the given delay. The
// process starts again at once. The returned function ends both.
func (s *site) killAfterLateCalls(m *machine, delay time.Duration) (end func()) {
	w := s.workers[slices.Index(s.targets, m)]
	w.SetFaults(worker.Faults{
		LateShare: plannerLateShare, LateMillis: plannerLateMin.Milliseconds(), LateMaxMillis: lateMax.Milliseconds(), LateHolds: true, LeaseFromArrival: true,
	})
	endLate := func() { w.SetFaults(worker.Faults{}) }
	return callAll([]func(){
		afterDelay(plannerLateTime, endLate),
		afterDelay(max(delay, plannerLateTime), func() { m.program.signal(syscall.SIGKILL) }),
		endLate,
	})
}

// afterDelay calls f after a delay, unless the returned function is called before. That function
// waits for f if it has been called.
func afterDelay(delay time.Duration, f func()) (stop func()) {
	done := make(chan struct{})
	t := time.AfterFunc(delay, func() {
		defer close(done)
		f()
	})
	return func() {
		if !t.Stop() {
			<-done
		}
	}
}

// stopAfter sends SIGSTOP to a process after a delay, and SIGCONT after the given length of time or
// when the returned function is called. selected returns the process when it is to be stopped, or nil
// for none.
func stopAfter(delay, length time.Duration, selected func() *program) (end func()) {
	cancelled, done := make(chan struct{}), make(chan struct{})
	wait := func(d time.Duration) bool {
		select {
		case <-time.After(d):
			return true
		case <-cancelled:
			return false
		}
	}
	go func() {
		defer close(done)
		if !wait(delay) {
			return
		}
		if p := selected(); p != nil {
			p.signal(syscall.SIGSTOP)
			wait(length)
			p.signal(syscall.SIGCONT)
		}
	}()
	return func() {
		close(cancelled)
		<-done
	}
}

// owns reports whether the current process has opened a connection on loopback, given the other
// end of the connection.
func (p *program) owns(accepted net.Conn) bool {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	if cmd == nil {
		return false
	}
	inode, ok := socketInode(accepted.RemoteAddr(), accepted.LocalAddr())
	if !ok {
		return false
	}
	descriptors, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", cmd.Process.Pid))
	if err != nil {
		return false
	}
	for _, path := range descriptors {
		if name, err := os.Readlink(path); err == nil && name == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}

// socketInode returns the inode of the TCP socket with the given ends.
func socketInode(local, remote net.Addr) (inode string, ok bool) {
	localAddr, isLocalTCP := local.(*net.TCPAddr)
	remoteAddr, isRemoteTCP := remote.(*net.TCPAddr)
	if !isLocalTCP || !isRemoteTCP {
		return "", false
	}
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return "", false
	}
	// The fields of a line are a number, the two ends as ADDRESS:PORT in hexadecimal digits, seven
	// others and the inode. The table may have thousands of lines, so that only one is split.
	const loopback = "0100007F"
	ends := fmt.Sprintf(" %s:%04X %s:%04X ", loopback, localAddr.Port, loopback, remoteAddr.Port)
	_, rest, found := bytes.Cut(table, []byte(ends))
	if !found {
		return "", false
	}
	const inodeField = 6 // after the two ends
	fields := bytes.Fields(rest[:min(len(rest), maxTableLine)])
	if len(fields) <= inodeField {
		return "", false
	}
	return string(fields[inodeField]), true
}

// maxTableLine is more than the length of a line of /proc/net/tcp.
const maxTableLine = 256
