package main

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"
)

var cases = map[string]playFunc{
	"foreign-heartbeat": playForeignHeartbeat,
	"late-removal":      playLateRemoval,
	"avoided-worker":    playAvoidedWorker,
	"late-heartbeat":    playLateHeartbeat,
	"waiting-count":     playWaitingCount,
	"paused-worker":     playPausedWorker,
	"removed-queue":     playRemovedQueue,
	"guarantee":         playGuarantee,
	"long-checkpoints":  playLongCheckpoints,
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
	w, err := newWorld(rec, repo, dir, trouble, []spec{{gpu: 8}, {gpu: 8}, {gpu: 4}}, []route{{"rozbor", 1, 3}}, plans)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return result{}, err
	}
	m := w.machines[2]
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

// playLateHeartbeat: a worker is replaced by another one on its machine. A heartbeat of the former
// one arrives late, just after the target process of the machine was killed and started again.
func playLateHeartbeat(rec *recorder, repo, dir string, trouble bool) (result, error) {
	plans := func(string, int64) plan { return plan{after: 14 * time.Second, how: "done"} }
	w, err := newWorld(rec, repo, dir, trouble, []spec{{gpu: 8}, {gpu: 8}, {gpu: 4}}, []route{{"rozbor", 1, 3}}, plans)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return result{}, err
	}
	m := w.machines[2]
	former := m.current()
	late := former.heartbeat()
	former.end("it crashes")
	time.Sleep(300 * time.Millisecond)
	if _, err := m.boot(); err != nil {
		return result{}, err
	}
	time.Sleep(2500 * time.Millisecond)
	const id = "00000000000000c1"
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
	time.Sleep(2 * time.Second)
	p := w.targetOf(m.name)
	p.kill()
	if err := p.start(); err != nil {
		return result{}, err
	}
	if trouble {
		// Until the address listens again.
		for range 100 {
			if w.sendBeat(m, former.id, late) {
				rec.printf("the late heartbeat of %s is acknowledged: %s", former.id, late)
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
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

// playPausedWorker: two long-running work units that only one worker may run fail from time to
// time.
func playPausedWorker(rec *recorder, repo, dir string, trouble bool) (result, error) {
	const id = "00000000000000e1"
	after := map[string]time.Duration{}
	ends := []struct {
		index, run string
		after      time.Duration
	}{{"0", "1", 4 * time.Second}, {"1", "1", 7 * time.Second}, {"0", "2", 9 * time.Second}, {"1", "2", 9 * time.Second}, {"0", "3", 12 * time.Second}}
	for _, e := range ends {
		after[id+".0.0."+e.index+"/"+e.run] = e.after
	}
	plans := func(task string, run int64) plan {
		if d := after[fmt.Sprintf("%s/%d", task, run)]; trouble && d > 0 {
			return plan{after: d, how: "failed"}
		}
		return plan{}
	}
	w, err := newWorld(rec, repo, dir, trouble, []spec{{gpu: 8}, {gpu: 8, labels: []string{"large"}}}, []route{{"sluzba", 0, 3}}, plans)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return result{}, err
	}
	j := job{"service", []step{{Count: 2, Cpu: 4000, MemMb: 4096, Gpu: 1, EstMs: 2000, LongRunning: true, Requires: "large"}}}
	if err := w.submit(tenantOne, "sluzba", id, j); err != nil {
		return result{}, err
	}
	time.Sleep(75 * time.Second)
	w.state(tenantOne, "sluzba", id)
	var res result
	for _, task := range []string{id + ".0.0.0", id + ".0.0.1"} {
		res.broken = append(res.broken, w.idle(task, time.Time{}, 9*time.Second)...)
	}
	return res, nil
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

// playWaitingCount: one of eight workers, the only one with room, refuses all starts for 5.5 s. A
// consumer asks how many jobs of the queue wait.
func playWaitingCount(rec *recorder, repo, dir string, trouble bool) (result, error) {
	const filler = "00000000000000e0"
	plans := func(task string, _ int64) plan {
		if strings.HasPrefix(task, filler) {
			return plan{}
		}
		return plan{after: 3 * time.Second, how: "done"}
	}
	w, err := newWorld(rec, repo, dir, trouble, make8(), []route{{"sluzba", 0, 3}, {"rozbor", 0, 3}}, plans)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return result{}, err
	}
	if err := w.submit(tenantOne, "sluzba", filler, job{"service", []step{{Count: 7, Cpu: 8000, MemMb: 4096, Gpu: 8, EstMs: 2000, LongRunning: true}}}); err != nil {
		return result{}, err
	}
	for i := range 7 {
		if _, err := w.awaitRun(fmt.Sprintf("%s.0.0.%d", filler, i), 10*time.Second); err != nil {
			return result{}, err
		}
	}
	var free *worker
	for _, m := range w.machines {
		if k := m.current(); k.idle() {
			free = k
		}
	}
	free.setRefusing(true)
	rec.printf("worker %s is unhealthy and refuses to start work units", free.id)
	if !trouble {
		free.setRefusing(false)
		rec.printf("worker %s is healthy", free.id)
	}
	for i := range 4 {
		id := fmt.Sprintf("00000000000000f%d", i)
		if err := w.submit(tenantOne, "rozbor", id, job{"analysis", []step{{Count: 1, Cpu: 8000, MemMb: 4096, Gpu: 1, EstMs: 3000}}}); err != nil {
			return result{}, err
		}
	}
	time.Sleep(visibleTime + 2200*time.Millisecond)
	waiting := 0
	for i := range 4 {
		if len(w.runsOf(fmt.Sprintf("00000000000000f%d.0.0.0", i))) == 0 {
			waiting++
		}
	}
	answer := w.call(tenantOne, "GET", "/rozbor/", nil)
	free.setRefusing(false)
	rec.printf("worker %s is healthy again", free.id)
	var res result
	var body struct {
		Waiting int `json:"Waiting"`
	}
	if text, ok := strings.CutPrefix(answer, "200 "); ok && json.Unmarshal([]byte(text), &body) == nil && 2*body.Waiting < waiting {
		res.broken = append(res.broken, fmt.Sprintf("Waiting is %d, and %d jobs accepted over %v before have not begun", body.Waiting, waiting, visibleTime+2*time.Second))
	}
	return res, nil
}

func make8() []spec {
	out := make([]spec, 8)
	for i := range out {
		out[i].gpu = 8
	}
	return out
}

// playRemovedQueue: the operator removes a queue with Attempts 1 while a job of it runs, and the
// job's work unit fails.
func playRemovedQueue(rec *recorder, repo, dir string, trouble bool) (result, error) {
	plans := func(string, int64) plan { return plan{after: 6 * time.Second, how: "failed"} }
	w, err := newWorld(rec, repo, dir, trouble, []spec{{gpu: 8}, {gpu: 8}}, []route{{"rozbor", 1, 2}, {"jina", 1, 3}}, plans)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return result{}, err
	}
	const id = "00000000000000aa"
	if err := w.submit(tenantOne, "rozbor", id, job{"analysis", []step{{Count: 1, Cpu: 8000, MemMb: 4096, Gpu: 4, EstMs: 6000}}}); err != nil {
		return result{}, err
	}
	task := id + ".0.0.0"
	if _, err := w.awaitRun(task, 10*time.Second); err != nil {
		return result{}, err
	}
	if trouble {
		w.setRoutes([]route{{"jina", 1, 3}})
	}
	time.Sleep(30 * time.Second)
	w.state(tenantOne, "jina", id)
	var res result
	failed := 0
	for _, r := range w.runsOf(task) {
		if failed >= 2 {
			res.broken = append(res.broken, fmt.Sprintf("run %d of %s starts after %d runs have ended failed", r.number, task, failed))
		}
		if r.how == "failed" {
			failed++
		}
	}
	return res, nil
}

// playGuarantee: a tenant's work of low priority, which lasts, uses what is idle. Another tenant then
// claims what it is guaranteed.
func playGuarantee(rec *recorder, repo, dir string, trouble bool) (result, error) {
	const other, claim = "00000000000000b7", "00000000000000b8"
	plans := func(task string, _ int64) plan {
		if strings.HasPrefix(task, claim) {
			return plan{after: 2 * time.Second, how: "done"}
		}
		if trouble {
			return plan{}
		}
		return plan{after: 60 * time.Second, how: "done"}
	}
	w, err := newWorld(rec, repo, dir, trouble, []spec{{gpu: 8}, {gpu: 8}, {gpu: 8}}, []route{{"dlouhe", 2, 3}, {"odhad", 0, 3}}, plans)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return result{}, err
	}
	j := job{"service", []step{{Count: 6, Cpu: 8000, MemMb: 4096, Gpu: 4, EstMs: 1000, LongRunning: trouble}}}
	if err := w.submit(tenantOne, "dlouhe", other, j); err != nil {
		return result{}, err
	}
	for i := range 6 {
		if _, err := w.awaitRun(fmt.Sprintf("%s.0.0.%d", other, i), 20*time.Second); err != nil {
			return result{}, err
		}
	}
	time.Sleep(2 * time.Second)
	if err := w.submit(tenantTwo, "odhad", claim, job{"quote", []step{{Count: 1, Cpu: 8000, MemMb: 4096, Gpu: 4, EstMs: 2000}}}); err != nil {
		return result{}, err
	}
	accepted := time.Now()
	time.Sleep(30 * time.Second)
	w.state(tenantTwo, "odhad", claim)
	runs := w.runsOf(claim + ".0.0.0")
	switch {
	case len(runs) == 0:
		return result{broken: []string{fmt.Sprintf("the job has not begun %v after its acceptance", time.Since(accepted).Round(time.Millisecond))}}, nil
	case runs[0].start.Sub(accepted) > reclaimTime:
		return result{broken: []string{fmt.Sprintf("the job began %v after its acceptance", runs[0].start.Sub(accepted).Round(time.Millisecond))}}, nil
	}
	rec.printf("the job began %v after its acceptance", runs[0].start.Sub(accepted).Round(time.Millisecond))
	return result{}, nil
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
