package process

import (
	"context"
	"os"
	"reflect"
	"time"
)

// reloadCheck is how often the file of the settings is looked at. It may change
// without a signal.
const reloadCheck = 2 * time.Second

// Settings are the settings of a process: EntrySettings or TargetSettings.
type Settings interface {
	Check() error
	Logs() LogSettings
}

// Reloader takes changes of the settings while a process runs. The settings of the
// log take effect at once. The log names the others that have changed: they take
// effect when the process starts again.
type Reloader struct {
	Path   string // of the file; empty for none
	Read   func() (Settings, error)
	Logs   *Logs
	Signal <-chan os.Signal

	current Settings
	stamp   time.Time // modification time of the file that was read last
}

// Run takes changes until ctx ends.
func (r *Reloader) Run(ctx context.Context, current Settings) {
	r.current, r.stamp = current, r.modified()
	tick := time.NewTicker(reloadCheck)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.Signal:
			r.stamp = r.modified()
			r.reload("signal")
		case <-tick.C:
			if m := r.modified(); !m.Equal(r.stamp) {
				r.stamp = m
				r.reload("file")
			}
		}
	}
}

// modified returns when the file was changed last, or the zero time.
func (r *Reloader) modified() time.Time {
	if r.Path == "" {
		return time.Time{}
	}
	info, err := os.Stat(r.Path)
	if err != nil {
		return time.Time{} // reload logs why.
	}
	return info.ModTime()
}

func (r *Reloader) reload(cause string) {
	log := r.Logs.Log
	next, err := r.Read()
	if err != nil {
		log.Error().Int("Event", EventReloadRefused).Str("Cause", cause).Str("Path", r.Path).Err(err).
			Msg("the former settings stay in force")
		return
	}
	restart := changedFields(r.current, next)
	log.Info().Int("Event", EventReloaded).Str("Cause", cause).Str("LogLevel", next.Logs().Level).Int("LogLines", next.Logs().Lines).
		Strs("NeedRestart", restart).Msg("the settings have been read again")
	r.Logs.Set(next.Logs())
	r.current = next
}

// changedFields returns the names of the fields that differ and take effect with a
// restart only. Both settings are of the same type.
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
