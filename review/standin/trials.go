package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

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

// playLateHeartbeat: a worker is replaced by another one on its machine. A heartbeat of the former
// one arrives late, just after the target process of the machine was killed and started again.
func playLateHeartbeat(rec *recorder, repo, dir string, trouble bool) (result, error) {
	plans := func(string, int64) plan { return plan{after: 14 * time.Second, how: "done"} }
	w, err := newWorld(rec, repo, dir, trouble, sevenMachines(false), []route{{"rozbor", 1, 3}}, plans)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return result{}, err
	}
	m := w.machines[6]
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
	w, err := newWorld(rec, repo, dir, trouble, eightMachines(), []route{{"sluzba", 0, 3}, {"rozbor", 0, 3}}, plans)
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

// eightMachines returns eight machines.
func eightMachines() []spec {
	out := make([]spec, 8)
	for i := range out {
		out[i].gpu = 8
	}
	return out
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

// playLargeOrders: jobs whose orders to one worker are larger together than a message between the
// processes may be wait until room is free.
func playLargeOrders(rec *recorder, repo, dir string, trouble bool) (result, error) {
	const blocker = "00000000000000aa"
	plans := func(task string, _ int64) plan {
		if strings.HasPrefix(task, blocker) {
			return plan{after: 10 * time.Second, how: "done"}
		}
		return plan{after: 3 * time.Second, how: "done"}
	}
	jobs := 8
	if trouble {
		jobs = 13
	}
	w, err := newWorld(rec, repo, dir, trouble, []spec{{gpu: 8}}, []route{{"rozbor", 1, 3}, {"odhad", 0, 3}}, plans)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return result{}, err
	}
	if err := w.submit(tenantOne, "odhad", blocker, job{"quote", []step{{Count: 1, Cpu: 64000, MemMb: 8, EstMs: 10000}}}); err != nil {
		return result{}, err
	}
	spec := strings.Repeat("x", 3990)
	for i := range jobs {
		if err := w.submit(tenantOne, "rozbor", fmt.Sprintf("00000000000001%02d", i), job{spec, []step{{Count: 200, Cpu: 20, MemMb: 8, EstMs: 3000}}}); err != nil {
			return result{}, err
		}
	}
	time.Sleep(45 * time.Second)
	var res result
	for i := range jobs {
		id := fmt.Sprintf("00000000000001%02d", i)
		if len(w.runsOf(id+".0.0.0")) == 0 {
			res.broken = append(res.broken, fmt.Sprintf("nothing of job %s has run, and its state is %s", id, w.state(tenantOne, "rozbor", id)))
		}
	}
	return res, nil
}
