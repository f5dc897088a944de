// Package placement chooses targets for the members of a job.
//
// A Site is a snapshot of nodes (targets as far as placement needs them). Plan
// chooses nodes for a shape without changing the site; Take and Give change it.
// Small work goes first to partly used workers of partly used racks, so that
// whole workers and whole racks stay free for gangs that need adjacent slots.
// Several members of a gang may share a worker if its slots suffice.
//
// For a waiting gang, Earliest estimates when and where it fits; Hold then keeps
// those slots from work that would not end in time, while work that ends before
// may still use them (backfill). Clear chooses running work whose removal makes
// a shape placeable. Fragmentation measures how much of the free capacity can't
// serve a shape, and Defragment proposes moves that pay.
//
// A Site is not safe for concurrent use.
//
// # Usage
//
//	site := placement.NewSite(nodes)
//	p, ok := site.Plan(placement.Request{Shape: shape})
//	if ok {
//		site.Take(p) // p[0].Target is the lowest target ID
//	}
package placement
