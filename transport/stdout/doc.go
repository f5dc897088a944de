// Package stdout writes the log lines of a process to its standard output.
//
// A Writer never blocks its callers and limits what it writes. Lines wait in a
// queue of limited size while the reader of the output is blocked, and a budget
// limits the lines per second. Lines beyond either limit are dropped, and a log
// line reports how many. The budget does not apply to the events in Settings.UnlimitedEvents,
// such as those that end a request. Warnings and errors have a budget of their
// own, so that neither a burst of informational lines nor a repeated warning
// displaces the other.
//
// # Usage
//
//	w := stdout.New(os.Stdout, stdout.Settings{LinesPerSecond: 200, UnlimitedEvents: events, Process: "e1"})
//	defer w.Close()
//	log := zerolog.New(w)
package stdout
