package process

import (
	"io"

	"github.com/rs/zerolog"

	"github.com/medlargrade/medlargrade/coordination/intake"
	"github.com/medlargrade/medlargrade/coordination/planner"
	"github.com/medlargrade/medlargrade/platform"
	"github.com/medlargrade/medlargrade/transport/stdout"
)

// timeFormat has milliseconds, so that the lines of several processes can be put in
// order.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// endsOfRequests are the events that the budget of log lines does not bound.
var endsOfRequests = []int{
	planner.EventJobEnded, intake.EventSubmitted, intake.EventCancelled, platform.EventCallRefused,
}

// LogSettings are the settings of the log. They change without a restart.
type LogSettings struct {
	Level string
	Lines int // a second
}

// Logs returns the settings of the log.
func (s EntrySettings) Logs() LogSettings { return LogSettings{s.LogLevel, s.LogLines} }

// Logs returns the settings of the log.
func (s TargetSettings) Logs() LogSettings { return LogSettings{s.LogLevel, s.LogLines} }

// Logs is the log of a process: JSON lines that never block it.
type Logs struct {
	Log zerolog.Logger
	out *stdout.Writer
}

// NewLogs returns the log of a named process. The level and the format of the time
// are those of all loggers of the program.
func NewLogs(out io.Writer, name string, set LogSettings) *Logs {
	zerolog.TimeFieldFormat = timeFormat
	w := stdout.New(out, stdout.Settings{LinesPerSecond: set.Lines, Kept: endsOfRequests, Process: name})
	l := &Logs{Log: zerolog.New(w).With().Timestamp().Str("Process", name).Logger(), out: w}
	l.Set(set)
	return l
}

// Set changes the settings, which have been checked.
func (l *Logs) Set(set LogSettings) {
	level, err := zerolog.ParseLevel(set.Level)
	if err != nil {
		level = zerolog.InfoLevel
	}
	zerolog.SetGlobalLevel(level)
	l.out.SetLinesPerSecond(set.Lines)
}

// Close writes what is left to write.
func (l *Logs) Close() { l.out.Close() }
