package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

var scenarios = map[string]scenario{
	"lasting-job-failed": {options{workers: 7, bounds: boundsQuillfoldGrown}, playLastingJobFailed},
	"lasting-job-waits":  {options{workers: 5, bounds: boundsQuillfoldGrown}, playLastingJobWaits},
	"guarantee-withheld": {options{workers: 5, bounds: boundsMogBrno}, playGuaranteeWithheld},
	"large-orders":       {options{workers: 5, bounds: boundsQuillfoldLarge}, playLargeOrders},
	"cancelled-job-runs": {options{workers: 5, bounds: boundsMogBrno}, playCancelledJobRuns},
	"waiting-count":      {options{workers: 7, bounds: boundsMogBrno}, playWaitingCount},
}

// playLastingJobFailed crashes the worker of a lasting task four times, one worker at a time, and
// asks for the state of its job.
func playLastingJobFailed(s *site, trouble bool) outcome {
	const id = "00000000000000a1"
	const task = id + ".0.0.0"
	if !s.submit(normalQueue, id, spec{Lasts: true}, step{Count: 1, CPU: 8000, Mem: 16000, GPU: 1, Est: 5000, LongRunning: true}) {
		return notRun
	}
	if !until(10*time.Second, func() bool { return s.running(task) != "" }) {
		return notRun
	}
	for range 4 {
		// The task has run for longer than any start takes.
		time.Sleep(4 * time.Second)
		if !trouble {
			time.Sleep(4500 * time.Millisecond)
			continue
		}
		w := s.worker(s.running(task))
		if w == nil {
			return notRun
		}
		w.crash()
		time.Sleep(4500 * time.Millisecond)
		w.start()
		until(15*time.Second, func() bool { return s.running(task) != "" })
	}
	result := held
	for range 10 {
		if st := s.state(normalQueue, id); st == "failed" {
			result = broken
		}
		time.Sleep(time.Second)
	}
	if s.running(task) == "" {
		s.record("nothing of the job runs")
		result = broken
	}
	return result
}

// cancelTime is cancel_ms.
const cancelTime = 3 * time.Second

// playCancelledJobRuns submits a job while the store loses the answers to the writes of its row and
// carries them out late, and cancels it after the store is sound again.
func playCancelledJobRuns(s *site, trouble bool) outcome {
	const (
		id     = "00000000000000b1"
		task   = id + ".0.0.0"
		window = 4500 * time.Millisecond // length of the disruption
		lateBy = 5900 * time.Millisecond
		limit  = 2 * time.Second // for which the client waits
	)
	begin := time.Now()
	s.store.lose("", "", 0)
	if trouble {
		s.store.lose("Jobs", id, lateBy)
		s.record("the store begins to lose answers")
	}
	time.Sleep(2400 * time.Millisecond)
	body := s.send(id, spec{Ms: 10_000}, step{Count: 1, CPU: 8000, Mem: 16000, GPU: 1, Est: 10_000})
	status, _ := s.callWithin(http.MethodPost, normalQueue+id, body, limit)
	if trouble && status/100 == 2 {
		return notRun
	}
	time.Sleep(time.Until(begin.Add(window)))
	writes, lost := s.store.lose("", "", 0)
	s.record("the store is sound again; it has lost the answers to %d of %d writes", lost, writes)
	time.Sleep(100 * time.Millisecond)
	if status, _ = s.call(http.MethodDelete, normalQueue+id, nil); status/100 != 2 && status != http.StatusGone {
		return notRun
	}
	cancelled := time.Now()
	time.Sleep(cancelTime + 8*time.Second)
	for _, a := range s.history(task) {
		if d := a.began.Sub(cancelled); d > cancelTime {
			s.record("%s run %d was started %d ms after the cancellation was answered with %d", task, a.run, d.Milliseconds(), status)
			return broken
		}
	}
	return held
}

// playWaitingCount cuts the process beside a worker off, submits two jobs that the planner places
// there, and asks for the number of waiting jobs while they haven't begun.
func playWaitingCount(s *site, trouble bool) outcome {
	const (
		cutFor   = 12 * time.Second
		waitFrom = 5 * time.Second // visible_ms and 2 s
	)
	first := step{Count: 1, CPU: 8000, Mem: 16000, GPU: 1, Est: 60_000}
	var place string
	for i := 0; ; i++ {
		// The planner's own process is not cut off: a job that takes its whole worker keeps others away.
		id := fmt.Sprintf("00000000000000c%d", i)
		if i == 8 || !s.submit(normalQueue, id, spec{Ms: 60_000}, first) {
			return notRun
		}
		task := id + ".0.0.0"
		if !until(10*time.Second, func() bool { return s.running(task) != "" }) {
			return notRun
		}
		if place = s.running(task); place != s.owner() {
			break
		}
		first.GPU = 7
	}
	time.Sleep(time.Second)
	p := s.target(place)
	if trouble {
		p.agent.cutSilent()
		p.store.cutSilent()
		s.record("%s is cut off from the others and the store", place)
	}
	begin := time.Now()
	jobs := []string{"00000000000000d1", "00000000000000d2"}
	for _, id := range jobs {
		if !s.submit(normalQueue, id, spec{Ms: 2000}, step{Count: 1, CPU: 8000, Mem: 16000, GPU: 1, Est: 2000}) {
			return notRun
		}
	}
	accepted := time.Now()
	result := held
	for time.Since(begin) < cutFor {
		time.Sleep(500 * time.Millisecond)
		asked := time.Now()
		n := s.waiting(normalQueue)
		notBegun := 0
		for _, id := range jobs {
			if len(s.history(id+".0.0.0")) == 0 {
				notBegun++
			}
		}
		s.record("%d jobs haven't begun; %d ms since the last was accepted", notBegun, asked.Sub(accepted).Milliseconds())
		if n >= 0 && asked.Sub(accepted) > waitFrom && 2*n < notBegun {
			result = broken
		}
	}
	if trouble {
		p.agent.heal()
		p.store.heal()
	}
	return result
}

// playLastingJobWaits crashes the worker of a lasting task once, while other work uses 24 of 40
// accelerators and urgent jobs of 14 accelerators come every 4 s, and waits for its next run.
func playLastingJobWaits(s *site, trouble bool) outcome {
	const (
		id     = "00000000000000e1"
		task   = id + ".0.0.0"
		long   = "00000000000000e2"
		period = 4 * time.Second // of the urgent jobs
		jobs   = 20
		before = 46 * time.Second // from the first urgent job to the crash
		calm   = 25 * time.Second // after the worker is back
	)
	if !s.submit(normalQueue, id, spec{Lasts: true}, step{Count: 1, CPU: 4000, Mem: 8000, GPU: 1, LongRunning: true}) ||
		!s.submit(normalQueue, long, spec{Ms: 200_000}, step{Count: 3, CPU: 26_000, Mem: 140_000, GPU: 8, Est: 200_000}) {
		return notRun
	}
	if !until(20*time.Second, func() bool {
		return s.running(task) != "" && s.running(long+".0.0.0") != "" && s.running(long+".0.0.1") != "" && s.running(long+".0.0.2") != ""
	}) {
		return notRun
	}
	urgent := make(chan struct{})
	defer func() { <-urgent }()
	begin := time.Now()
	go func() {
		defer close(urgent)
		for i := range jobs {
			time.Sleep(time.Until(begin.Add(time.Duration(i) * period)))
			s.submit(urgentQueue, fmt.Sprintf("00000000000f%04d", i), spec{Ms: 2000}, step{Count: 7, CPU: 2000, Mem: 8000, GPU: 2, Est: 2000})
		}
	}()
	time.Sleep(time.Until(begin.Add(before)))
	if !trouble {
		time.Sleep(4500*time.Millisecond + calm)
		if s.running(task) == "" || len(s.history(task)) != 1 {
			return notRun
		}
		return held
	}
	w := s.worker(s.running(task))
	if w == nil {
		return notRun
	}
	w.crash()
	time.Sleep(4500 * time.Millisecond)
	w.start()
	back := time.Now()
	for time.Since(back) < calm {
		time.Sleep(time.Second)
		s.record("lasting task runs on %q; free accelerators: %d", s.running(task), s.free())
		if s.running(task) != "" {
			s.record("started again %d ms after the worker was back", time.Since(back).Milliseconds())
			if time.Since(back) > 12*time.Second {
				return broken
			}
			return held
		}
	}
	s.record("the lasting task has not been started again")
	return broken
}

// playGuaranteeWithheld lets lasting jobs of a tenant without a guarantee come at once, and then
// submits an urgent job of a tenant within its guarantee.
func playGuaranteeWithheld(s *site, trouble bool) outcome {
	const (
		reclaim = 3400 * time.Millisecond // ReclaimMs
		watched = 30 * time.Second
		urgent  = "0000000000000aa0"
	)
	// Traffic before: short jobs of the second tenant.
	s.key = secondKey
	for i := range 6 {
		if !s.submit(normalQueue, fmt.Sprintf("0000000000000ab%d", i), spec{Ms: 1500}, step{Count: 4, CPU: 4000, Mem: 8000, GPU: 1, Est: 1500}) {
			return notRun
		}
		time.Sleep(3 * time.Second)
	}
	lasting := 3
	if trouble {
		lasting = 5
		s.record("five lasting jobs come at once instead of three")
	}
	for i := range lasting {
		if !s.submit(normalQueue, fmt.Sprintf("0000000000000ac%d", i), spec{Lasts: true}, step{Count: 8, CPU: 4000, Mem: 8000, GPU: 1, LongRunning: true, MayMiss: 8}) {
			return notRun
		}
	}
	time.Sleep(8 * time.Second)
	s.record("%d accelerators are free", s.free())
	s.key = firstKey
	if !s.submit(urgentQueue, urgent, spec{Ms: 2000}, step{Count: guaranteedGPU, CPU: 2000, Mem: 4000, GPU: 1, Est: 2000}) {
		return notRun
	}
	accepted := time.Now()
	for time.Since(accepted) < watched {
		begun := 0
		for i := range guaranteedGPU {
			begun += min(len(s.history(fmt.Sprintf("%s.0.0.%d", urgent, i))), 1)
		}
		if begun == guaranteedGPU {
			d := time.Since(accepted)
			s.record("the guaranteed job has begun, at most %d ms after it was accepted", d.Milliseconds())
			if d > reclaim {
				return broken
			}
			return held
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.state(urgentQueue, urgent)
	s.record("the guaranteed job has not begun %d ms after it was accepted", time.Since(accepted).Milliseconds())
	return broken
}

// playLargeOrders lets a large job take all processors while jobs of many small tasks come, which all
// fit on one worker once the large job has ended.
func playLargeOrders(s *site, trouble bool) outcome {
	const (
		jobs    = 13
		tasks   = 200
		text    = 3900
		pause   = 800 * time.Millisecond
		watched = 45 * time.Second
	)
	if trouble {
		s.record("a large job comes")
		if !s.submit(normalQueue, "0000000000000200", spec{Ms: 13_000}, step{Count: 5, CPU: 64_000, Mem: 1000, Est: 13_000}) {
			return notRun
		}
		time.Sleep(pause)
	}
	var ids []string
	for i := range jobs {
		id := fmt.Sprintf("00000000000001%02d", i)
		if !s.submit(normalQueue, id, spec{Ms: 3000, Text: strings.Repeat("x", text)}, step{Count: tasks, CPU: 20, Mem: 10, Est: 3000}) {
			return notRun
		}
		ids = append(ids, id)
		time.Sleep(pause)
	}
	accepted := time.Now()
	begun := func(id string) int {
		n := 0
		for i := range tasks {
			n += min(len(s.history(fmt.Sprintf("%s.0.0.%d", id, i))), 1)
		}
		return n
	}
	time.Sleep(watched)
	result := held
	for _, id := range ids {
		st := s.state(normalQueue, id)
		n := begun(id)
		s.record("%s is %s; %d of %d tasks have begun %d s after the last job was accepted", id, st, n, tasks, int(time.Since(accepted).Seconds()))
		if n == 0 {
			result = broken
		}
	}
	return result
}
