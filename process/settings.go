package process

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"time"

	"github.com/rs/zerolog"
)

// Duration is a time.Duration that is written as a string such as "10m" in
// settings and flags.
type Duration time.Duration

// UnmarshalText parses the form of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("duration: %w", err)
	}
	*d = Duration(v)
	return nil
}

// MarshalText returns the form of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalFlag parses a flag.
func (d *Duration) UnmarshalFlag(value string) error { return d.UnmarshalText([]byte(value)) }

// EntrySettings are the settings of an entry process.
type EntrySettings struct {
	Name            string   `long:"name" description:"name of the entry, unique over all entries"`
	DataCentre      string   `long:"data-centre" description:"data centre of the entry's VM"`
	CallerAddress   string   `long:"caller-address" description:"IP:port to serve callers"`
	TargetAddress   string   `long:"target-address" description:"IP:port to serve target processes"`
	OperatorAddress string   `long:"operator-address" description:"IP:port to serve operators"`
	Platform        string   `long:"platform" description:"URL of the platform's table service and object store"`
	DrainTime       Duration `long:"drain-time" description:"how long a shutdown waits for requests in progress; 1m if missing"`
	LogLevel        string   `long:"log-level" description:"debug, info, warn or error; info if missing"`
}

// TargetSettings are the settings of a target process.
type TargetSettings struct {
	Name            string   `long:"name" description:"name of the target, unique in the site"`
	DataCentre      string   `long:"data-centre" description:"data centre of the target's VM"`
	Rack            string   `long:"rack" description:"rack of the worker"`
	Address         string   `long:"address" description:"IP:port to serve entries and other target processes"`
	OperatorAddress string   `long:"operator-address" description:"IP:port to serve operators"`
	Worker          string   `long:"worker" description:"URL of the worker's interface"`
	Entries         []string `long:"entry" description:"IP:port of an entry; may be repeated"`
	Slots           int      `long:"slots" description:"slots of the worker; 8 if missing"`
	Connections     int      `long:"connections" description:"connections of the target; 64 if missing"`
	ReportTo        int      `long:"report-to" description:"number of entries to report to; 4 if missing"`
	DrainTime       Duration `long:"drain-time" description:"how long a shutdown waits for tasks; 10m if missing"`
	LogLevel        string   `long:"log-level" description:"debug, info, warn or error; info if missing"`
}

// DefaultEntrySettings returns the settings that have defaults.
func DefaultEntrySettings() EntrySettings {
	return EntrySettings{DrainTime: Duration(time.Minute), LogLevel: "info"}
}

// DefaultTargetSettings returns the settings that have defaults: those of a worker
// with eight accelerators.
func DefaultTargetSettings() TargetSettings {
	return TargetSettings{
		Slots: 8, Connections: 64, ReportTo: 4,
		DrainTime: Duration(10 * time.Minute), LogLevel: "info",
	}
}

// ReadSettings fills v from a JSON file. Unknown fields are errors. An empty
// path leaves v as it is.
func ReadSettings(path string, v any) error {
	if path == "" {
		return nil
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return fmt.Errorf("settings %s: %w", path, err)
	}
	if d.More() {
		return fmt.Errorf("settings %s: data after the end of the settings", path)
	}
	return nil
}

// Check returns all that is wrong with the settings.
func (s EntrySettings) Check() error {
	return errors.Join(
		checkName("Name", s.Name),
		checkName("DataCentre", s.DataCentre),
		CheckAddress("CallerAddress", s.CallerAddress),
		CheckAddress("TargetAddress", s.TargetAddress),
		CheckAddress("OperatorAddress", s.OperatorAddress),
		CheckURL("Platform", s.Platform),
		checkPositive("DrainTime", int64(s.DrainTime)),
		checkLevel(s.LogLevel),
	)
}

// Check returns all that is wrong with the settings.
func (s TargetSettings) Check() error {
	errs := []error{
		checkName("Name", s.Name),
		checkName("DataCentre", s.DataCentre),
		checkName("Rack", s.Rack),
		CheckAddress("Address", s.Address),
		CheckAddress("OperatorAddress", s.OperatorAddress),
		CheckURL("Worker", s.Worker),
		checkPositive("Slots", int64(s.Slots)),
		checkPositive("Connections", int64(s.Connections)),
		checkPositive("ReportTo", int64(s.ReportTo)),
		checkPositive("DrainTime", int64(s.DrainTime)),
		checkLevel(s.LogLevel),
	}
	if len(s.Entries) == 0 {
		errs = append(errs, fmt.Errorf("%s: at least one entry is needed", "Entries"))
	}
	for i, e := range s.Entries {
		errs = append(errs, CheckAddress(fmt.Sprintf("Entries[%d]", i), e))
	}
	return errors.Join(errs...)
}

func checkName(field, value string) error {
	if value == "" {
		return fmt.Errorf("%s: must not be empty", field)
	}
	return nil
}

// CheckAddress demands an IP number: the processes use no name service.
func CheckAddress(field, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return fmt.Errorf("%s: %q is not IP:port", field, value)
	}
	return nil
}

// CheckURL demands an http URL of an IP number.
func CheckURL(field, value string) error {
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		return fmt.Errorf("%s: %q is not an http URL", field, value)
	}
	return CheckAddress(field, u.Host)
}

func checkPositive(field string, value int64) error {
	if value <= 0 {
		return fmt.Errorf("%s: must be positive", field)
	}
	return nil
}

func checkLevel(value string) error {
	if _, err := zerolog.ParseLevel(value); err != nil || value == "" {
		return fmt.Errorf("LogLevel: %q is not debug, info, warn or error; info if missing", value)
	}
	return nil
}

// NewLogger returns the process's logger, which writes JSON lines to stderr.
func NewLogger(level, process string) zerolog.Logger {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		l = zerolog.InfoLevel
	}
	return zerolog.New(os.Stderr).Level(l).With().Timestamp().Str("Process", process).Logger()
}
