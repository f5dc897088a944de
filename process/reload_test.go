package process

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
)

// logBuffer collects the log of a process.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *logBuffer) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(b)
}

// readLines returns the lines written since the last call.
func (o *logBuffer) readLines(t *testing.T) []map[string]any {
	t.Helper()
	synctest.Wait()
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []map[string]any
	for d := json.NewDecoder(&o.text); d.More(); {
		var line map[string]any
		qt.Assert(t, d.Decode(&line), qt.IsNil)
		out = append(out, line)
	}
	return out
}

// Guards against a change of the settings that is missed, against an invalid change
// that stops the process or is applied, and against a change that needs a restart but
// is not logged as such.
func TestReload(t *testing.T) {
	type step struct {
		name        string
		file        string // new content of the settings file
		signal      bool   // otherwise the poll of the file detects the change
		event       float64
		cause       string
		needRestart []any
		level       zerolog.Level // afterwards
	}
	const initial = `{"LogLevel": "info", "LogLines": 100, "DrainTime": "5s"}`
	steps := []step{
		{name: "signal without a change", file: initial, signal: true, event: EventReloaded, cause: "signal", needRestart: []any{}, level: zerolog.InfoLevel},
		{
			name: "changed file", file: `{"LogLevel": "debug", "LogLines": 100, "DrainTime": "5s"}`,
			event: EventReloaded, cause: "file", needRestart: []any{}, level: zerolog.DebugLevel,
		},
		{name: "no JSON", file: `{"LogLevel": "err`, event: EventReloadRefused, cause: "file", level: zerolog.DebugLevel},
		{
			name: "invalid value", file: `{"LogLevel": "loud"}`, signal: true,
			event: EventReloadRefused, cause: "signal", level: zerolog.DebugLevel,
		},
		{
			name: "other drain time", file: `{"LogLevel": "debug", "LogLines": 100, "DrainTime": "9s"}`,
			event: EventReloaded, cause: "file", needRestart: []any{"DrainTime"}, level: zerolog.DebugLevel,
		},
		{
			name: "restart still needed", file: `{"LogLevel": "info", "LogLines": 100, "DrainTime": "9s"}`, signal: true,
			event: EventReloaded, cause: "signal", needRestart: []any{"DrainTime"}, level: zerolog.InfoLevel,
		},
		{
			name: "needs a restart", file: `{"LogLevel": "warn", "LogLines": 100, "DrainTime": "9s", "Bounds": {"StopTime": "2s"}}`, signal: true,
			event: EventReloaded, cause: "signal", needRestart: []any{"DrainTime", "Bounds"}, level: zerolog.WarnLevel,
		},
	}
	synctest.Test(t, func(t *testing.T) {
		defer zerolog.SetGlobalLevel(zerolog.GlobalLevel())
		path := filepath.Join(t.TempDir(), "settings.json")
		write := func(body string, offset time.Duration) {
			qt.Assert(t, os.WriteFile(path, []byte(body), 0o600), qt.IsNil)
			// Explicit times: the resolution of the file system's could hide a change.
			modTime := time.Now().Add(offset)
			qt.Assert(t, os.Chtimes(path, modTime, modTime), qt.IsNil)
		}
		read := func() (Settings, error) {
			settings := DefaultEntrySettings()
			settings.Name, settings.DataCentre, settings.CallerAddress = "e1", "dc1", "127.0.0.1:1"
			settings.OperatorAddress, settings.Platform = "127.0.0.1:2", "http://127.0.0.1:3"
			if err := ReadSettings(path, &settings); err != nil {
				return nil, err
			}
			return settings, settings.Check()
		}
		write(initial, 0)
		settings, err := read()
		qt.Assert(t, err, qt.IsNil)
		buf := &logBuffer{}
		logger := NewLogger(buf, "e1", LogSettings{Level: "info", Lines: 100})
		hup := make(chan os.Signal, 1)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		r := &Reloader{Path: path, Read: read, Logger: logger, Signal: hup}
		go func() {
			defer close(done)
			r.Run(ctx, settings)
		}()
		synctest.Wait()
		for i, s := range steps {
			write(s.file, time.Duration(i)*time.Second)
			if s.signal {
				hup <- syscall.SIGHUP
			} else {
				time.Sleep(reloadInterval + time.Millisecond)
			}
			synctest.Wait()
			qt.Check(t, zerolog.GlobalLevel(), qt.Equals, s.level, qt.Commentf("%s", s.name))
			lines := buf.readLines(t)
			qt.Assert(t, lines, qt.HasLen, 1, qt.Commentf("%s", s.name))
			qt.Check(t, lines[0]["Event"], qt.Equals, s.event, qt.Commentf("%s", s.name))
			qt.Check(t, lines[0]["Cause"], qt.Equals, s.cause, qt.Commentf("%s", s.name))
			if s.needRestart != nil {
				qt.Check(t, lines[0]["NeedRestart"], qt.DeepEquals, s.needRestart, qt.Commentf("%s", s.name))
			}
			time.Sleep(reloadInterval)
		}
		cancel()
		<-done
		logger.Close()
	})
}
