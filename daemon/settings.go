package daemon

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"github.com/medlargrade/medlargrade/process"
)

// Bounds are the times that the site's operators promise or demand. Each comes
// from the platform's settings.
type Bounds struct {
	ConfigInForce process.Duration // from the acceptance of a configuration until every entry uses it
	Grace         process.Duration // from the signal to stop until the process is killed
	LeaseMax      process.Duration // longest lease that a worker grants
	StopTime      process.Duration // longest time from the stop of a run to its end
	GangWait      process.Duration // how long a member of a gang waits for the others
	Checkpoint    process.Duration // work between two checkpoints
	Restore       process.Duration // time that a start from a checkpoint takes
	FarFactor     float64          // slow-down of work far from its data or its peers
}

// DefaultBounds returns the bounds of a site that names none.
func DefaultBounds() Bounds {
	return Bounds{
		ConfigInForce: process.Duration(2 * time.Second), Grace: process.Duration(6 * time.Second),
		LeaseMax: process.Duration(10 * time.Second), StopTime: process.Duration(time.Second),
		GangWait: process.Duration(3 * time.Second), Checkpoint: process.Duration(time.Second),
		Restore: process.Duration(250 * time.Millisecond), FarFactor: 3,
	}
}

// EntrySettings are the settings of an entry.
type EntrySettings struct {
	Name            string
	DataCentre      string
	CallerAddress   string // IP:port to serve callers
	ReadyAddress    string // IP:port of the load balancer's check
	OperatorAddress string // IP:port of metrics, status and dump
	Store           string // IP:port of the platform's store
	LogLevel        string
	Bounds          Bounds
}

// TargetSettings are the settings of a target process.
type TargetSettings struct {
	Name            string
	DataCentre      string
	AgentAddress    string // IP:port to serve planners
	ReportAddress   string // IP:port at which the worker reports
	OperatorAddress string // IP:port of metrics, status and dump
	Worker          string // IP:port of the worker
	Store           string // IP:port of the platform's store
	LogLevel        string
	Bounds          Bounds
}

// DefaultEntrySettings returns the settings that have defaults.
func DefaultEntrySettings() EntrySettings {
	return EntrySettings{LogLevel: "info", Bounds: DefaultBounds()}
}

// DefaultTargetSettings returns the settings that have defaults.
func DefaultTargetSettings() TargetSettings {
	return TargetSettings{LogLevel: "info", Bounds: DefaultBounds()}
}

// Check returns all that is wrong with the settings.
func (s EntrySettings) Check() error {
	return errors.Join(
		checkName("Name", s.Name),
		checkName("DataCentre", s.DataCentre),
		checkAddress("CallerAddress", s.CallerAddress),
		checkAddress("ReadyAddress", s.ReadyAddress),
		checkAddress("OperatorAddress", s.OperatorAddress),
		checkAddress("Store", s.Store),
		checkLevel(s.LogLevel),
		s.Bounds.check(),
	)
}

// Check returns all that is wrong with the settings.
func (s TargetSettings) Check() error {
	return errors.Join(
		checkName("Name", s.Name),
		checkName("DataCentre", s.DataCentre),
		checkAddress("AgentAddress", s.AgentAddress),
		checkAddress("ReportAddress", s.ReportAddress),
		checkAddress("OperatorAddress", s.OperatorAddress),
		checkAddress("Worker", s.Worker),
		checkAddress("Store", s.Store),
		checkLevel(s.LogLevel),
		s.Bounds.check(),
	)
}

func (b Bounds) check() error {
	var errs []error
	for _, d := range []struct {
		name  string
		value process.Duration
	}{
		{"ConfigInForce", b.ConfigInForce}, {"Grace", b.Grace}, {"LeaseMax", b.LeaseMax}, {"StopTime", b.StopTime},
		{"GangWait", b.GangWait}, {"Checkpoint", b.Checkpoint},
	} {
		if d.value <= 0 {
			errs = append(errs, fmt.Errorf("Bounds.%s must be positive", d.name))
		}
	}
	if b.FarFactor < 1 {
		errs = append(errs, errors.New("Bounds.FarFactor must be at least 1"))
	}
	return errors.Join(errs...)
}

func checkName(field, value string) error {
	if value == "" {
		return fmt.Errorf("%s is required", field)
	}
	return nil
}

func checkAddress(field, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return fmt.Errorf("%s: %q is not of the form IP:port", field, value)
	}
	return nil
}

func checkLevel(level string) error {
	if _, err := zerolog.ParseLevel(level); err != nil || level == "" {
		return fmt.Errorf("LogLevel: %q is not a level", level)
	}
	return nil
}
