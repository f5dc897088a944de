// Package experiment plays loads against the planner without a network and in
// simulated time, and reports what the callers get and what it costs.
//
// A Load describes a site, the kinds of work that callers submit, and troubles. Run
// draws the jobs of a load from a seed and plays them: workers start and stop runs,
// keep gangs together, make checkpoints and list their ends as the platform's
// workers do, and every decision is the planner's. Two runs of one load with the
// same seed are the same, so that two policies can be compared job by job.
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
