package process

import (
	"io"

	"github.com/rs/zerolog"

	"github.com/medlargrade/medlargrade/coordination/intake"
	"github.com/medlargrade/medlargrade/coordination/planner"
	"github.com/medlargrade/medlargrade/platform"
	"github.com/medlargrade/medlargrade/transport/stdout"
)

// timeFormat has milliseconds, so that lines of several processes can be merged in
// order of time.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// unlimitedEvents are the events that the limit on log lines does not apply to: the
// ends of requests.
var unlimitedEvents = []int{
	planner.EventJobEnded, intake.EventSubmitted, intake.EventCancelled, intake.EventCancelledEarly, platform.EventCallRefused,
}

// LogSettings are the settings of the log. They can change without a restart.
type LogSettings struct {
	Level string
	Lines int // per second
}

// LogSettings returns the settings of the log.
func (s EntrySettings) LogSettings() LogSettings { return LogSettings{s.LogLevel, s.LogLines} }

// LogSettings returns the settings of the log.
func (s TargetSettings) LogSettings() LogSettings { return LogSettings{s.LogLevel, s.LogLines} }

// Logger writes the log of a process as JSON lines. Writing never blocks the process.
type Logger struct {
	Log zerolog.Logger
	out *stdout.Writer
}

// NewLogger returns a logger for the named process. It sets the level and the time
// format of all zerolog loggers in the program.
func NewLogger(out io.Writer, name string, settings LogSettings) *Logger {
	zerolog.TimeFieldFormat = timeFormat
	w := stdout.New(out, stdout.Settings{LinesPerSecond: settings.Lines, UnlimitedEvents: unlimitedEvents, Process: name})
	logger := &Logger{Log: zerolog.New(w).With().Timestamp().Str("Process", name).Logger(), out: w}
	logger.Apply(settings)
	return logger
}

// Apply changes the settings, which must have been checked.
func (l *Logger) Apply(settings LogSettings) {
	level, err := zerolog.ParseLevel(settings.Level)
	if err != nil {
		level = zerolog.InfoLevel
	}
	zerolog.SetGlobalLevel(level)
	l.out.SetLinesPerSecond(settings.Lines)
}

// Close writes the lines that are still buffered.
func (l *Logger) Close() { l.out.Close() }
