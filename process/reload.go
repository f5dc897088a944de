package process

import (
	"context"
	"os"
	"reflect"
	"time"
)

// reloadInterval is how often the modification time of the settings file is
// checked, since the file may change without a signal.
const reloadInterval = 2 * time.Second

// Settings are the settings of a process: EntrySettings or TargetSettings.
type Settings interface {
	Check() error
	LogSettings() LogSettings
}

// Reloader reloads the settings while a process runs. Changed settings of the log
// take effect immediately. Other changes need a restart; at each reload, the log lists the
// fields that differ from the settings with which the process was started.
type Reloader struct {
	Path   string // of the settings file; empty for none
	Read   func() (Settings, error)
	Logger *Logger
	Signal <-chan os.Signal

	started Settings  // with which the process was started
	modTime time.Time // modification time of the file when it was last read
}

// Run reloads the settings on a signal or a change of the file until ctx ends. The process
// was started with the settings started.
func (r *Reloader) Run(ctx context.Context, started Settings) {
	r.started, r.modTime = started, r.fileModTime()
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.Signal:
			r.modTime = r.fileModTime()
			r.reload("signal")
		case <-ticker.C:
			if m := r.fileModTime(); !m.Equal(r.modTime) {
				r.modTime = m
				r.reload("file")
			}
		}
	}
}

// fileModTime returns the modification time of the file, or the zero time if it is
// not known.
func (r *Reloader) fileModTime() time.Time {
	if r.Path == "" {
		return time.Time{}
	}
	info, err := os.Stat(r.Path)
	if err != nil {
		return time.Time{} // reload logs the error.
	}
	return info.ModTime()
}

func (r *Reloader) reload(cause string) {
	log := r.Logger.Log
	next, err := r.Read()
	if err != nil {
		log.Error().Int("Event", EventReloadRefused).Str("Cause", cause).Str("Path", r.Path).Err(err).
			Msg("reload failed; the previous settings stay in effect")
		return
	}
	needRestart := changedFields(r.started, next)
	log.Info().Int("Event", EventReloaded).Str("Cause", cause).Str("LogLevel", next.LogSettings().Level).Int("LogLines", next.LogSettings().Lines).
		Strs("NeedRestart", needRestart).Msg("settings reloaded")
	r.Logger.Apply(next.LogSettings())
}

// changedFields returns the names of the fields that differ and need a restart to
// take effect. Both settings must have the same type.
func changedFields(x, y Settings) []string {
	a, b := reflect.ValueOf(x), reflect.ValueOf(y)
	out := []string{}
	for i := range a.NumField() {
		name := a.Type().Field(i).Name
		if name == "LogLevel" || name == "LogLines" || a.Field(i).Interface() == b.Field(i).Interface() {
			continue
		}
		out = append(out, name)
	}
	return out
}
