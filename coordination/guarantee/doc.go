// Package guarantee accounts for the use of guaranteed capacity and chooses the
// running work that gives way to a guarantee claim.
//
// A workspace's use is the sum of the slots of its tasks. Use up to its guarantee
// is guaranteed, use beyond it is lent. A claim is a job of class short or long
// that fits into its workspace's unused guarantee but finds no free slots; fill
// work takes what is left and is never a claim.
//
// Victims are chosen among the work of workspaces above their guarantee, so that
// the claim's shape becomes placeable with its adjacency. Whole attempts are
// taken, never more than needed, and no work that is still held. Idempotent work goes before non-idempotent
// work, fill before long before short work, then what loses the least slot time
// since its last checkpoint, then what has fewer slots. No choice takes a
// workspace below its guarantee, with one exception: a gang that is partly within
// and partly beyond its workspace's guarantee is taken if nothing else suffices,
// because the claim could otherwise not be met. Victims.Straddles marks this.
//
// # Usage
//
//	l := guarantee.NewLedger(cfg, view.Tasks(now))
//	task.Lent = l.Lends(workspace, shape)
//	if l.IsClaim(workspace, class, shape) {
//		if v, ok := l.Victims(shape, site); ok {
//			for _, h := range v.ByHub {
//				preempt(h.Hub, h.Attempts)
//			}
//		}
//	}
package guarantee
