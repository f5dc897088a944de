package shard

import "time"

// statePeriod is the time between two log lines with the state of the shard.
const statePeriod = time.Second

// load measures the passes and transactions of an owner since a time.
type load struct {
	since       time.Time
	passes      int
	passTime    time.Duration // of all passes
	longestPass time.Duration
	commits     int
	longest     time.Duration // longest transaction
}

func newLoad() *load { return &load{since: time.Now()} }

func (l *load) addPass(d time.Duration) {
	l.passes++
	l.passTime += d
	l.longestPass = max(l.longestPass, d)
}

func (l *load) addCommit(d time.Duration) {
	l.commits++
	l.longest = max(l.longest, d)
}

// due reports whether the state is to be logged.
func (l *load) due() bool { return time.Since(l.since) >= statePeriod }

// logState logs the state of the shard and the load since the last line, unless nothing waits
// or runs.
func (o *owner) logState(l *load) {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.plan.Summarize(now)
	if s.Running+s.Stops+s.Waiting[0]+s.Waiting[1]+s.Waiting[2] == 0 {
		return
	}
	oldest := time.Duration(0) // answer of a connected target
	for _, w := range o.watches {
		if w.connected {
			oldest = max(oldest, now.Sub(w.lastAnswerAt))
		}
	}
	o.deps.Log.Info().Int("Event", EventShardState).Ints("Waiting", s.Waiting[:]).Ints("Late", s.Late[:]).Int("Running", s.Running).Int("Stops", s.Stops).
		Int("Claims", s.Claims).Int("Accelerators", s.Accelerators).Int("Free", s.Free).Int("Stopping", s.Stopping).Int("Claimed", s.Claimed).
		Int("Targets", s.Targets).Int("Accepting", s.Accepting).Int("Disconnected", s.Disconnected).Int("Evacuated", s.Evacuated).Int("Paused", s.Paused).
		Int("Passes", l.passes).Dur("PassTime", l.passTime).Dur("LongestPass", l.longestPass).Int("Commits", l.commits).Dur("LongestCommit", l.longest).
		Dur("OldestAnswer", oldest).Dur("Period", now.Sub(l.since)).Send()
}
