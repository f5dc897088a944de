package main

import (
	"context"
	"errors"
	"fmt"
	"os/user"

	"github.com/medlargrade/medlargrade/coordination/configuration"
	"github.com/medlargrade/medlargrade/coordination/evacuation"
	"github.com/medlargrade/medlargrade/platform"
	"github.com/medlargrade/medlargrade/process"
	"github.com/medlargrade/medlargrade/state/table"
)

// Evacuate is the subcommand evacuate.
type Evacuate struct {
	*Env     `no-flag:"true"`
	Platform string `long:"platform" env:"MEDLARGRADE_PLATFORM" default:"http://127.0.0.1:8400" description:"URL of the platform's store"`
	Config   string `long:"config" default:"applied" choice:"applied" choice:"platform" description:"source of the configuration"`
	Reason   string `long:"reason" value-name:"TEXT" description:"why the data centre is evacuated; shown to operators"`
	Release  bool   `long:"release" description:"withdraw the request"`
	Force    bool   `long:"force" description:"accept a data centre that the configuration does not name"`
	Args     struct {
		DataCentre string `positional-arg-name:"DATACENTRE" description:"data centre; without it, the evacuated ones are listed"`
	} `positional-args:"yes"`
}

// Execute records or withdraws a request, or lists the requests.
func (c *Evacuate) Execute([]string) error {
	name := c.Args.DataCentre
	if name == "" && (c.Release || c.Reason != "" || c.Force) {
		return &ExitError{ExitInvalid, errors.New("the flags need a data centre")}
	}
	if c.Release && c.Reason != "" {
		return &ExitError{ExitInvalid, errors.New("a withdrawal has no reason")}
	}
	store, err := c.OpenStore(c.Platform)
	if err != nil {
		return &ExitError{ExitInvalid, err}
	}
	ctx, cancel := context.WithTimeout(c.Context, configTimeout)
	defer cancel()
	if name == "" {
		return c.list(ctx, store)
	}
	if err := c.checkSource(ctx, store, name); err != nil {
		return err
	}
	if c.Release {
		err = configuration.Release(ctx, store, name)
	} else {
		err = c.request(ctx, store, name)
	}
	var unknown *configuration.EvacuationUnknownError
	var exit *ExitError
	switch {
	case errors.As(err, &exit):
		return err
	case errors.As(err, &unknown):
		return &ExitError{ExitUnknown, fmt.Errorf("%w; list the requests once the store is back", err)}
	case err != nil:
		return failure(err)
	case c.Release:
		printf(c.Stdout, "%s is used again\n", name)
	default:
		printf(c.Stdout, "nothing more is started in %s\n", name)
	}
	return nil
}

// checkSource returns an error if the platform's operator writes the requests: a request in the
// table of the own configuration would have no effect.
func (c *Evacuate) checkSource(ctx context.Context, store table.Store, name string) error {
	isPlatform := c.Config == process.SourcePlatform
	if !isPlatform {
		snapshot, err := process.ReadConfig(ctx, store, process.SourcePlatform)
		if err != nil {
			return failure(err)
		}
		isPlatform = snapshot != nil
	}
	if isPlatform {
		return &ExitError{ExitInvalid, fmt.Errorf("the platform is the source of the configuration: its operator writes or removes the row %s of table %s",
			platform.EvacuationPrefix+name, platform.OperatorTable)}
	}
	return nil
}

// request records the request to evacuate a data centre.
func (c *Evacuate) request(ctx context.Context, store table.Store, name string) error {
	if !c.Force {
		snapshot, err := configuration.Read(ctx, store)
		if err != nil {
			return err
		}
		if err := snapshot.CheckDataCentre(name); err != nil {
			return &ExitError{ExitInvalid, fmt.Errorf("%w; use --force if it is to be evacuated before its workers register", err)}
		}
	}
	r := evacuation.Request{DataCentre: name, Reason: c.Reason}
	if u, err := user.Current(); err == nil {
		r.By = u.Username
	}
	return configuration.Evacuate(ctx, store, r)
}

// list prints the evacuated data centres.
func (c *Evacuate) list(ctx context.Context, store table.Store) error {
	set, err := process.ReadEvacuations(ctx, store, c.Config)
	if err != nil {
		return failure(err)
	}
	if set.IsEmpty() {
		printf(c.Stdout, "no data centre is evacuated\n")
	}
	for _, r := range set.Requests() {
		printf(c.Stdout, "%s\n", describeEvacuation(r))
	}
	return nil
}

// describeEvacuation returns the data centre of a request, with its reason and its author if they
// are known.
func describeEvacuation(r evacuation.Request) string {
	s := r.DataCentre
	if r.By != "" {
		s += " by " + r.By
	}
	if r.Reason != "" {
		s += ": " + r.Reason
	}
	return s
}
