// Package process assembles the components of entry and target processes and runs
// them.
//
// An entry serves callers: it records jobs in the platform's store, looks them up
// and cancels them. A target process runs next to one worker and is its agent; one
// of the target processes of a shard is also the shard's planner.
//
// All communication goes through a Network, so that tests can run the same assembly
// over an in-memory network with a fake clock.
//
// # Usage
//
//	settings := process.DefaultTargetSettings()
//	if err := process.ReadSettings("target.json", &settings); err != nil {
//		return err
//	}
//	if err := settings.Check(); err != nil {
//		return err
//	}
//	logger := process.NewLogger(os.Stdout, settings.Name, settings.LogSettings())
//	defer logger.Close()
//	return process.RunTarget(ctx, settings, process.TCP(), logger.Log)
package process
