package main

import (
	"fmt"
	"os"

	"golang.org/x/sync/errgroup"

	"github.com/medlargrade/medlargrade/process"
	standinplatform "github.com/medlargrade/medlargrade/standin/platform"
	standinworker "github.com/medlargrade/medlargrade/standin/worker"
	"github.com/medlargrade/medlargrade/state/job"
)

// standinCommand runs a stand-in for the platform and its workers.
type standinCommand struct {
	Address    string `long:"address" required:"true" description:"IP:port to serve the store"`
	Workers    int    `long:"workers" default:"0" description:"number of workers"`
	WorkerPort int    `long:"worker-port" default:"8500" description:"port of the first worker on 127.0.0.1; the others follow"`
	ReportPort int    `long:"report-port" default:"8600" description:"port on 127.0.0.1 at which the first worker's target process receives heartbeats; the others follow"`
	Rack       int    `long:"rack" default:"3" description:"workers in each rack"`
	LogLevel   string `long:"log-level" default:"info" description:"debug, info, warn or error"`
}

const standinLogLinesPerSecond = 200

// Execute serves until SIGTERM or SIGINT.
func (c *standinCommand) Execute([]string) error {
	if err := process.CheckAddress("address", c.Address); err != nil {
		return &ExitError{ExitInvalid, err}
	}
	if c.Workers < 0 || c.Rack < 1 {
		return &ExitError{ExitInvalid, fmt.Errorf("%d workers in racks of %d: must be at least 0 workers, and at least 1 in a rack", c.Workers, c.Rack)}
	}
	logger := process.NewLogger(os.Stdout, "standin", process.LogSettings{Level: c.LogLevel, Lines: standinLogLinesPerSecond})
	defer logger.Close()
	log := logger.Log
	ctx, cancel := shutdownContext()
	defer cancel()
	network := process.TCP()
	store := standinplatform.New(standinplatform.Settings{}, log)
	g, gctx := errgroup.WithContext(ctx)
	lis, err := network.Listen(ctx, c.Address)
	if err != nil {
		return err
	}
	g.Go(func() error { return process.ServeHTTP(gctx, lis, store) })
	site := standinworker.NewSite(func(id string) (job.Job, bool) { return store.Job(process.ShardPart, id) })
	for i := range c.Workers {
		rack := i / c.Rack
		address := fmt.Sprintf("127.0.0.1:%d", c.WorkerPort+i)
		w := standinworker.New(site, standinworker.Settings{
			Name: fmt.Sprintf("w%d", i+1), Pool: "workers", DataCentre: fmt.Sprintf("dc%d", rack+1),
			Rack: fmt.Sprintf("dc%d-r1", rack+1), Address: address, ReportAddress: fmt.Sprintf("127.0.0.1:%d", c.ReportPort+i),
		}, network.HTTPClient(), log)
		workerLis, err := network.Listen(ctx, address)
		if err != nil {
			return err
		}
		g.Go(func() error { return process.ServeHTTP(gctx, workerLis, w) })
		g.Go(func() error {
			w.Run(gctx)
			return nil
		})
	}
	return g.Wait()
}
