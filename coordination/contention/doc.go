// Package contention decides who is served when capacity is short: how much of it stays
// free for urgent work, what is stopped for a unit, and in which order units and
// workspaces are served. It takes state and returns decisions, without network access,
// goroutines or a clock of its own.
//
// Arrivals learns from the urgent work that arrives how many accelerators and how many
// whole workers such work would use at a time. Work that is not urgent leaves that much
// free: less if it is cheap to stop, because urgent work can then reclaim the capacity
// without losing much.
//
// # Usage
//
//	a := contention.NewArrivals(now)
//	a.Observe(contention.Class{Pool: "gpu", Kind: "check"}, contention.Amount{Accelerators: 16, Workers: 2}, runTime, now)
//	demand := a.Demand("gpu", now)
//	room := demand.Room(contention.Site{Accelerators: 560, UrgentInUse: inUse}, costlyToStop)
package contention
