// Package stdout writes the log lines of a process to its standard output.
//
// A Writer never blocks its callers and bounds what it writes. Lines wait in a
// queue of bounded size while the reader of the output stands still, and a budget
// bounds the lines of a second. What does not fit is left out, and counted in a
// line of its own. Lines of events that end a request are outside the budget;
// warnings and errors have a budget of their own, so that neither a busy second of
// information nor a repeated warning hides the other.
//
// # Usage
//
//	w := stdout.New(os.Stdout, stdout.Settings{LinesPerSecond: 200, UnlimitedEvents: events, Process: "e1"})
//	defer w.Close()
//	log := zerolog.New(w)
package stdout
