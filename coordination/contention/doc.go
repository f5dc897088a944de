// Package contention decides who is served when capacity is short: how much of it stays
// free for urgent work, what is stopped for a unit, and in which order units and
// workspaces are served. It takes state and returns decisions, without network access,
// goroutines or a clock of its own.
//
// Arrivals learns from the urgent work that arrives how many accelerators and how many
// whole workers such work would use at a time. Work that is not urgent leaves that much
// free: less if it is cheap to stop, because urgent work can then reclaim the capacity
// without losing much. Room, WaitForEnd, RepeatPenalty and LossFactor say what may be stopped
// and what is waited for, Earliest and MayBackfill where a large unit gets a reservation and what
// may run there until then, and Shares which workspace is served first.
//
// # Usage
//
//	a := contention.NewArrivals(now)
//	a.Observe(contention.Class{Pool: "gpu", Kind: "check"}, contention.Amount{Accelerators: 16, Workers: 2}, runTime, now)
//	demand := a.Demand("gpu", now)
//	room := demand.Room(contention.Site{Total: total, UrgentInUse: inUse}, costlyToStop)
//
//	reserved, after := contention.Earliest(options, tasks)
//
//	s := contention.NewShares(now)
//	s.Update(inUseByWorkspace, now)
//	first := s.Step("a", guaranteed, total, workspaces) < s.Step("b", guaranteed, total, workspaces)
package contention
