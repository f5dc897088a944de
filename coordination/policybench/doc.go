// Package policybench measures the scheduling policy on a synthetic clock.
//
// It runs the packages targets, placement, guarantee, admission, runtimes and
// health against small fake workers: a site of 11 workers of 8 slots, three to a
// rack, and four workspaces. The load is drawn from a seed: short work
// with crests of twenty times the usual demand, long work with gangs, fill work,
// stragglers, a burst of small jobs on a burst of large ones, and a worker that
// fails every task for an hour. Declared run times are off by up to ten in either
// direction. The same load is given to the policy, to baselines, and to the policy
// with one part taken out.
//
// It is no simulator of the system: there is one entry, messages take a
// millisecond, and the store plays no part.
//
// # Usage
//
//	table := policybench.Run(policybench.Options{Seeds: 10, Length: 8 * time.Hour})
//	fmt.Println(table)
package policybench
