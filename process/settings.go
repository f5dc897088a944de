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

	"github.com/medlargrade/medlargrade/coordination/planner"
)

// Duration is a time.Duration that settings and flags represent as a string such
// as "10m".
type Duration time.Duration

// UnmarshalText parses the format of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("duration: %w", err)
	}
	*d = Duration(v)
	return nil
}

// MarshalText returns the format of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalFlag parses the value of a flag.
func (d *Duration) UnmarshalFlag(value string) error { return d.UnmarshalText([]byte(value)) }

// Sources of the configuration.
const (
	SourceApplied  = "applied"  // the one accepted by "config apply"
	SourcePlatform = "platform" // the row written by the platform's operator
)

// Bounds are the times and the factor that the platform's operators guarantee or
// require.
type Bounds struct {
	ConfigInForce Duration // from the acceptance of a configuration until all entries use it
	LeaseMax      Duration // longest lease that a worker grants
	StopTime      Duration // longest time from the order to stop a run to its end
	GangWait      Duration // how long a member of a gang waits for the others
	Restore       Duration // time taken by a start from a checkpoint
	FarFactor     float64  // slowdown of work far from its data or its peers
	Retention     Duration // how long an ended job can be looked up
	// Evacuation is the longest time from the request to evacuate a data centre until nothing is
	// started there; 0 for no limit. Requests are followed in either case.
	Evacuation Duration
}

// DefaultBounds returns the bounds used where the settings have none.
func DefaultBounds() Bounds {
	return Bounds{
		ConfigInForce: Duration(2 * time.Second), LeaseMax: Duration(10 * time.Second), StopTime: Duration(time.Second),
		GangWait: Duration(3 * time.Second), Restore: Duration(250 * time.Millisecond),
		FarFactor: 3, Retention: Duration(24 * time.Hour),
	}
}

func (b Bounds) plannerSettings(policy planner.Policy) planner.Settings {
	return planner.Settings{
		Policy: policy, StopTime: time.Duration(b.StopTime), GangWait: time.Duration(b.GangWait), FarFactor: b.FarFactor,
		RestoreTime: time.Duration(b.Restore), Retention: time.Duration(b.Retention), Evacuation: time.Duration(b.Evacuation),
	}
}

// EntrySettings are the settings of an entry process.
type EntrySettings struct {
	Name            string      `long:"name" description:"name of the entry, unique among all processes"`
	DataCentre      string      `long:"data-centre" description:"data centre of the entry's VM"`
	CallerAddress   string      `long:"caller-address" description:"IP:port to serve the callers' API"`
	RouteAddress    string      `long:"route-address" description:"IP:port to serve calls that the platform forwards by host and path; none if missing"`
	ReadyAddress    string      `long:"ready-address" description:"IP:port to serve the platform's readiness check; none if missing"`
	OperatorAddress string      `long:"operator-address" description:"IP:port to serve operators"`
	Platform        string      `long:"platform" description:"URL of the platform's store"`
	Config          string      `long:"config" description:"source of the configuration: applied or platform; applied if missing"`
	DrainTime       Duration    `long:"drain-time" description:"how long a shutdown waits for requests in progress; 1m if missing"`
	LogLevel        string      `long:"log-level" description:"debug, info, warn or error; info if missing"`
	LogLines        int         `long:"log-lines" description:"maximum number of log lines per second, not counting events that end a request; warnings and errors have a separate limit of the same size; 600 if missing"`
	Bounds          Bounds      `no-flag:"true"`
	Policy          EntryPolicy `no-flag:"true"`
}

// EntryPolicy selects between policies of an entry. The zero value is the default policy.
type EntryPolicy struct {
	// Admission refuses submissions that certainly can't be served in time, by what the
	// planner publishes of its queues.
	Admission bool `json:",omitempty"`
}

// TargetSettings are the settings of a target process.
type TargetSettings struct {
	Name            string         `long:"name" description:"name of the target, unique among all processes"`
	DataCentre      string         `long:"data-centre" description:"data centre of the target's VM"`
	Address         string         `long:"address" description:"IP:port to serve planners"`
	ReachedAt       string         `long:"reached-at" description:"IP:port at which planners reach the target, if different from its address"`
	ReportAddress   string         `long:"report-address" description:"IP:port to which the worker sends its heartbeats"`
	OperatorAddress string         `long:"operator-address" description:"IP:port to serve operators"`
	Worker          string         `long:"worker" description:"URL of the worker's interface"`
	Platform        string         `long:"platform" description:"URL of the platform's store"`
	Config          string         `long:"config" description:"source of the configuration: applied or platform; applied if missing"`
	LogLevel        string         `long:"log-level" description:"debug, info, warn or error; info if missing"`
	LogLines        int            `long:"log-lines" description:"maximum number of log lines per second, not counting events that end a request; warnings and errors have a separate limit of the same size; 600 if missing"`
	Bounds          Bounds         `no-flag:"true"`
	Policy          planner.Policy `no-flag:"true"`
}

// defaultLogLinesPerSecond is enough for a planner at the size that the design is for,
// which at peak decides on about 100 tasks per second.
const defaultLogLinesPerSecond = 600

// DefaultEntrySettings returns entry settings with the defaults filled in.
func DefaultEntrySettings() EntrySettings {
	return EntrySettings{
		Config: SourceApplied, DrainTime: Duration(time.Minute), LogLevel: "info", LogLines: defaultLogLinesPerSecond, Bounds: DefaultBounds(),
	}
}

// DefaultTargetSettings returns target settings with the defaults filled in.
func DefaultTargetSettings() TargetSettings {
	return TargetSettings{Config: SourceApplied, LogLevel: "info", LogLines: defaultLogLinesPerSecond, Bounds: DefaultBounds()}
}

// ReadSettings decodes a JSON file into v. Unknown fields are errors. If path is
// empty, v is unchanged.
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

// Check returns an error that joins all problems of the settings.
func (s EntrySettings) Check() error {
	errs := []error{
		checkName("Name", s.Name),
		checkName("DataCentre", s.DataCentre),
		CheckAddress("CallerAddress", s.CallerAddress),
		CheckAddress("OperatorAddress", s.OperatorAddress),
		CheckURL("Platform", s.Platform),
		checkSource(s.Config),
		checkPositive("DrainTime", int64(s.DrainTime)),
		checkLevel(s.LogLevel),
		checkPositive("LogLines", int64(s.LogLines)),
		s.Bounds.check(),
	}
	if s.RouteAddress != "" {
		errs = append(errs, CheckAddress("RouteAddress", s.RouteAddress))
	}
	if s.ReadyAddress != "" {
		errs = append(errs, CheckAddress("ReadyAddress", s.ReadyAddress))
	}
	return errors.Join(errs...)
}

// Check returns an error that joins all problems of the settings.
func (s TargetSettings) Check() error {
	var reachedAt error
	if s.ReachedAt != "" {
		reachedAt = CheckAddress("ReachedAt", s.ReachedAt)
	}
	return errors.Join(
		reachedAt,
		checkName("Name", s.Name),
		checkName("DataCentre", s.DataCentre),
		CheckAddress("Address", s.Address),
		CheckAddress("ReportAddress", s.ReportAddress),
		CheckAddress("OperatorAddress", s.OperatorAddress),
		CheckURL("Worker", s.Worker),
		CheckURL("Platform", s.Platform),
		checkSource(s.Config),
		checkLevel(s.LogLevel),
		checkPositive("LogLines", int64(s.LogLines)),
		s.Bounds.check(),
	)
}

// minEvacuation is the shortest bound that can be kept without withholding starts while the store
// answers: an order takes up to 1.2 s, and so does a watch whose answer is lost.
const minEvacuation = 3 * time.Second

func (b Bounds) check() error {
	errs := []error{
		checkPositive("Bounds.ConfigInForce", int64(b.ConfigInForce)),
		checkPositive("Bounds.LeaseMax", int64(b.LeaseMax)),
		checkPositive("Bounds.StopTime", int64(b.StopTime)),
		checkPositive("Bounds.GangWait", int64(b.GangWait)),
		checkPositive("Bounds.Restore", int64(b.Restore)),
		checkPositive("Bounds.Retention", int64(b.Retention)),
	}
	if b.Evacuation != 0 && time.Duration(b.Evacuation) < minEvacuation {
		errs = append(errs, fmt.Errorf("%s: must be 0 or at least %v", "Bounds.Evacuation", minEvacuation))
	}
	if b.FarFactor < 1 {
		errs = append(errs, fmt.Errorf("%s: must be at least 1", "Bounds.FarFactor"))
	}
	return errors.Join(errs...)
}

func checkName(field, value string) error {
	if value == "" {
		return fmt.Errorf("%s: must not be empty", field)
	}
	return nil
}

// CheckAddress checks that value is IP:port. Host names are errors, because the
// processes don't use DNS.
func CheckAddress(field, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return fmt.Errorf("%s: %q is not IP:port", field, value)
	}
	return nil
}

// CheckURL checks that value is an http URL whose host is IP:port.
func CheckURL(field, value string) error {
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		return fmt.Errorf("%s: %q is not an http URL", field, value)
	}
	return CheckAddress(field, u.Host)
}

func checkSource(value string) error {
	if value != SourceApplied && value != SourcePlatform {
		return fmt.Errorf("%s: %q is not applied or platform", "Config", value)
	}
	return nil
}

func checkPositive(field string, value int64) error {
	if value <= 0 {
		return fmt.Errorf("%s: must be positive", field)
	}
	return nil
}

func checkLevel(value string) error {
	if _, err := zerolog.ParseLevel(value); err != nil || value == "" {
		return fmt.Errorf("%s: %q is not debug, info, warn or error", "LogLevel", value)
	}
	return nil
}
