// Package experiment runs loads against the planner in a discrete-event simulation
// without a network, and reports the worth that callers get and the work that is wasted.
//
// A Load describes a site, the kinds of work that callers submit, and faults of
// workers. Run draws the jobs of a load from a seed and simulates them: workers start
// and stop runs, synchronize gangs, make checkpoints and report ends as the platform's
// workers do, and the real planner makes every decision. Two runs of one load with the
// same seed and policy are identical, so two policies can be compared job by job.
//
// # Usage
//
//	load, err := experiment.ParseLoad(text)
//	if err != nil {
//		return err
//	}
//	r := experiment.Run(load, experiment.Options{Seed: 1})
//	fmt.Printf("%.3f of the worth earned\n", r.Share())
package experiment
