// Package process assembles the components of entry and target processes and runs
// them.
//
// An entry serves callers: it records jobs in the platform's store, looks them up
// and cancels them. A target process runs on the VM of one worker and is its agent. One
// of the target processes of a shard owns the shard; the owner runs the planner.
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
