// Package process assembles the entry and the target process from their parts and
// runs them.
//
// An entry serves callers: it accepts jobs into the platform's store, looks them
// up and cancels them. A target process stands beside one worker: it is the agent
// of that worker, and one of the target processes of a shard also plans it.
//
// A process reaches everything outside it through a Network, so that tests run the
// same assembly over an in-memory network with a paused clock.
//
// # Usage
//
//	set := process.DefaultTargetSettings()
//	if err := process.ReadSettings("target.json", &set); err != nil {
//		return err
//	}
//	if err := set.Check(); err != nil {
//		return err
//	}
//	logs := process.NewLogs(os.Stdout, set.Name, set.Logs())
//	defer logs.Close()
//	return process.RunTarget(ctx, set, process.TCP(), logs.Log)
package process
