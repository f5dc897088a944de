package main

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// cases holds the cases of the folders beside this one, and the trials.
var cases = map[string]playFunc{
	"long-checkpoints":  playLongCheckpoints,
	"foreign-heartbeat": playForeignHeartbeat,
	"late-removal":      playLateRemoval,
	"avoided-worker":    playAvoidedWorker,
	"late-hold":         playLateHold,

	// Trials, which REPORT.md lists and which are no cases.
	"guarantee":      playGuarantee,
	"late-heartbeat": playLateHeartbeat,
	"removed-queue":  playRemovedQueue,
	"waiting-count":  playWaitingCount,
	"paused-worker":  playPausedWorker,
	"large-orders":   playLargeOrders,
}

// playLongCheckpoints: the checkpoints of a job's work units are longer than 16 bytes. Another job is
// accepted later.
func playLongCheckpoints(rec *recorder, repo, dir string, trouble bool) (result, error) {
	const large, small = "00000000000000c7", "00000000000000c8"
	length := 16
	if trouble {
		length = 320
	}
	plans := func(task string, _ int64) plan {
		if strings.HasPrefix(task, small) {
			return plan{after: 2 * time.Second, how: "done"}
		}
		n, _ := strconv.Atoi(task[strings.LastIndexByte(task, '.')+1:])
		return plan{after: 6*time.Second + time.Duration(n)*50*time.Millisecond, how: "done", checkpoint: length}
	}
	w, err := newWorld(rec, repo, dir, trouble, []spec{{gpu: 8}, {gpu: 8}, {gpu: 8}}, []route{{"rozbor", 1, 3}, {"odhad", 0, 3}}, plans)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return result{}, err
	}
	if err := w.submit(tenantOne, "rozbor", large, job{"analysis", []step{{Count: 200, Cpu: 200, MemMb: 256, EstMs: 10000, Checkpoint: true}}}); err != nil {
		return result{}, err
	}
	if _, err := w.awaitRun(large+".0.0.199", 20*time.Second); err != nil {
		return result{}, err
	}
	time.Sleep(20 * time.Second)
	if err := w.submit(tenantOne, "odhad", small, job{"quote", []step{{Count: 1, Cpu: 8000, MemMb: 4096, Gpu: 4, EstMs: 2000}}}); err != nil {
		return result{}, err
	}
	traffic := time.Now()
	for range 4 {
		time.Sleep(10 * time.Second)
		w.state(tenantOne, "rozbor", large)
		w.state(tenantOne, "odhad", small)
	}
	var res result
	if len(w.runsOf(small+".0.0.0")) == 0 {
		res.broken = append(res.broken, fmt.Sprintf("nothing has run of the accepted job %s for %.1f s after the end of the traffic, with all workers idle", small, time.Since(traffic).Seconds()))
	}
	for _, id := range []string{large, small} {
		if s := w.state(tenantOne, map[string]string{large: "rozbor", small: "odhad"}[id], id); s != "completed" {
			rec.printf("in the end, the state of job %s is %s", id, s)
		}
	}
	return res, nil
}

// playForeignHeartbeat: a heartbeat of another writer, for a service that the configuration does
// not name, arrives at the Control address of the machine on which a work unit runs.
func playForeignHeartbeat(rec *recorder, repo, dir string, trouble bool) (result, error) {
	plans := func(string, int64) plan { return plan{after: 14 * time.Second, how: "done"} }
	w, err := newWorld(rec, repo, dir, trouble, []spec{{gpu: 8}, {gpu: 8}, {gpu: 8}}, []route{{"rozbor", 1, 3}}, plans)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return result{}, err
	}
	const id = "00000000000000a1"
	if err := w.submit(tenantOne, "rozbor", id, job{"analysis", []step{{Count: 1, Cpu: 8000, MemMb: 4096, Gpu: 4, EstMs: 14000}}}); err != nil {
		return result{}, err
	}
	task := id + ".0.0.0"
	r, err := w.awaitRun(task, 10*time.Second)
	if err != nil {
		return result{}, err
	}
	time.Sleep(3 * time.Second)
	if trouble {
		m := w.machineOf(r.machine)
		b, _ := json.Marshal(map[string]any{
			"Backend": "cizi-sluzba", "Addr": "127.0.0.99:8080", "Zone": m.zone, "Version": "v1", "Slots": 8, "State": "ready", "ColdLeftMs": 0,
			"Capacity": m.room, "Labels": m.labels, "ClockMs": 5000, "Seq": 1, "born": time.Now().UnixMilli(),
		})
		answered := w.sendBeat(m, "i-foreign", b)
		rec.printf("another writer's heartbeat to %s: %s (acknowledged: %v)", m.name, b, answered)
	}
	time.Sleep(18 * time.Second)
	w.state(tenantOne, "rozbor", id)
	return result{broken: w.overlaps(task)}, nil
}

// playLateRemoval: a worker leaves, and the target process beside it is stopped and started again.
// The store loses the answer to the process's last call and performs it 5 s later, when a new worker
// of that machine is at work.
func playLateRemoval(rec *recorder, repo, dir string, trouble bool) (result, error) {
	plans := func(string, int64) plan { return plan{after: 14 * time.Second, how: "done"} }
	w, err := newWorld(rec, repo, dir, trouble, sevenMachines(false), []route{{"rozbor", 1, 3}}, plans)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return result{}, err
	}
	m := w.machines[6]
	m.current().leave(2500 * time.Millisecond)
	time.Sleep(time.Second)
	if trouble {
		w.store.setFault(func(tx *txMessage) (txFault, time.Duration) {
			for _, d := range tx.Remove {
				if d.Table == "Targets" {
					rec.printf("the store does not answer a call: %s", describe(tx))
					return txDelayed, 5 * time.Second
				}
			}
			return txServe, 0
		})
	}
	p := w.targetOf(m.name)
	p.stop()
	time.Sleep(200 * time.Millisecond)
	if err := p.start(); err != nil {
		return result{}, err
	}
	if _, err := m.boot(); err != nil {
		return result{}, err
	}
	time.Sleep(1500 * time.Millisecond)
	const id = "00000000000000b1"
	// Best fit: the smallest worker that holds the work unit gets it.
	if err := w.submit(tenantOne, "rozbor", id, job{"analysis", []step{{Count: 1, Cpu: 8000, MemMb: 4096, Gpu: 4, EstMs: 14000}}}); err != nil {
		return result{}, err
	}
	task := id + ".0.0.0"
	r, err := w.awaitRun(task, 10*time.Second)
	if err != nil {
		return result{}, err
	}
	if r.machine != m.name {
		return result{}, fmt.Errorf("the work unit started on %s", r.machine)
	}
	time.Sleep(18 * time.Second)
	w.state(tenantOne, "rozbor", id)
	return result{broken: w.overlaps(task)}, nil
}

// playAvoidedWorker: a work unit fails once. The only other worker that is large enough for it is
// in use by work that lasts, so that it has too little room.
func playAvoidedWorker(rec *recorder, repo, dir string, trouble bool) (result, error) {
	const lasting, batch = "00000000000000d1", "00000000000000d2"
	plans := func(task string, run int64) plan {
		switch {
		case strings.HasPrefix(task, lasting):
			return plan{}
		case trouble && run == 1:
			return plan{after: 3 * time.Second, how: "failed"}
		}
		return plan{after: 6 * time.Second, how: "done"}
	}
	w, err := newWorld(rec, repo, dir, trouble, []spec{{gpu: 8}, {gpu: 8}}, []route{{"sluzba", 0, 3}, {"rozbor", 1, 3}}, plans)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return result{}, err
	}
	if err := w.submit(tenantOne, "sluzba", lasting, job{"service", []step{{Count: 1, Cpu: 8000, MemMb: 4096, Gpu: 5, EstMs: 2000, LongRunning: true}}}); err != nil {
		return result{}, err
	}
	if _, err := w.awaitRun(lasting+".0.0.0", 10*time.Second); err != nil {
		return result{}, err
	}
	if err := w.submit(tenantOne, "rozbor", batch, job{"analysis", []step{{Count: 1, Cpu: 8000, MemMb: 4096, Gpu: 4, EstMs: 6000}}}); err != nil {
		return result{}, err
	}
	traffic := time.Now()
	task := batch + ".0.0.0"
	if _, err := w.awaitRun(task, 10*time.Second); err != nil {
		return result{}, err
	}
	for range 6 {
		time.Sleep(10 * time.Second)
		w.state(tenantOne, "rozbor", batch)
	}
	return result{broken: w.idle(task, traffic.Add(finishTime), 3*time.Second)}, nil
}

// playLateHold: a machine is cut off from the other processes for 12 s, while every second hold at its
// worker gets no answer and is carried out later, with its lease counted from then. A work unit on it
// ends done meanwhile.
func playLateHold(rec *recorder, repo, dir string, trouble bool) (result, error) {
	plans := func(string, int64) plan { return plan{after: 7 * time.Second, how: "done"} }
	w, err := newWorld(rec, repo, dir, trouble, sevenMachines(true), []route{{"rozbor", 1, 3}}, plans)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return result{}, err
	}
	const id = "00000000000000f7"
	// Best fit: the smallest worker that holds the work unit gets it.
	if err := w.submit(tenantOne, "rozbor", id, job{"analysis", []step{{Count: 1, Cpu: 8000, MemMb: 4096, Gpu: 4, EstMs: 7000}}}); err != nil {
		return result{}, err
	}
	task := id + ".0.0.0"
	r, err := w.awaitRun(task, 10*time.Second)
	if err != nil {
		return result{}, err
	}
	m := w.machines[6]
	if r.machine != m.name {
		return result{}, fmt.Errorf("the work unit started on %s", r.machine)
	}
	time.Sleep(2 * time.Second)
	if trouble {
		m.current().setLate()
		rec.printf("%s is cut off from the other processes", m.name)
		m.link.setCut(true)
	}
	time.Sleep(12 * time.Second)
	if trouble {
		m.link.setCut(false)
		rec.printf("%s is no longer cut off", m.name)
	}
	time.Sleep(15 * time.Second)
	w.state(tenantOne, "rozbor", id)
	return result{broken: append(w.overlaps(task), w.again(task)...)}, nil
}

// lateWindow is how long holds are carried out late, and firstDelay how much later the first of them is;
// each further one is by delayStep later still.
const (
	lateWindow = 5500 * time.Millisecond
	firstDelay = 4 * time.Second
	delayStep  = 2 * time.Second
)

// setLate makes the worker carry out every second hold late for a time.
func (k *worker) setLate() {
	end, n := time.Now().Add(lateWindow), 0
	k.mu.Lock()
	defer k.mu.Unlock()
	k.late = func() time.Duration {
		if n++; n%2 == 0 || time.Now().After(end) {
			return 0
		}
		return firstDelay + time.Duration(n/2)*delayStep
	}
}

// again describes the runs of a work unit that started after one had ended done whose end was taken
// note of, then or later, without a lapse of the worker's lease between the two.
func (w *world) again(task string) []string {
	var out []string
	runs := w.runsOf(task)
	for i, a := range runs {
		for _, b := range runs[i+1:] {
			if a.how == "done" && !a.notedAt.IsZero() && b.start.After(a.end) {
				out = append(out, fmt.Sprintf("%s: run %d starts at %.3f s, after run %d has ended done at %.3f s; that end is taken note of at %.3f s",
					task, b.number, w.rec.since(b.start), a.number, w.rec.since(a.end), w.rec.since(a.notedAt)))
			}
		}
	}
	return out
}

// idle describes the spans after a moment in which nothing ran of a work unit that had not ended
// done, for longer than limit.
func (w *world) idle(task string, from time.Time, limit time.Duration) []string {
	var out []string
	runs := w.runsOf(task)
	for i, r := range runs {
		if r.end.IsZero() || r.how == "done" {
			continue
		}
		begin := r.end
		if begin.Before(from) {
			begin = from
		}
		next, again := time.Now(), "the end of the case"
		if i+1 < len(runs) {
			next, again = runs[i+1].start, "its next run"
		}
		if idle := next.Sub(begin); idle > limit {
			out = append(out, fmt.Sprintf("nothing runs of %s for %.3f s, from %.3f s to %s; its run %d ended %s at %.3f s",
				task, idle.Seconds(), w.rec.since(begin), again, r.number, r.how, w.rec.since(r.end)))
		}
	}
	return out
}

// sevenMachines returns seven machines, the last of which is the smallest.
func sevenMachines(linked bool) []spec {
	out := make([]spec, 7)
	for i := range out {
		out[i].gpu = 8
	}
	out[6] = spec{gpu: 4, linked: linked}
	return out
}
