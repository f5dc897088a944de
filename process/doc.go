// Package process assembles the entry and the target process from their parts
// and runs them.
//
// A process reaches everything outside it through a Network, so that tests run
// the same assembly over an in-memory network with a paused clock.
//
// # Usage
//
//	set := process.DefaultEntrySettings()
//	if err := process.ReadSettings("entry.json", &set); err != nil {
//		return err
//	}
//	if err := set.Check(); err != nil {
//		return err
//	}
//	return process.RunEntry(ctx, set, process.TCP(), process.NewLogger(set.LogLevel, set.Name))
package process
