package main

import (
	"net/http"

	"github.com/medlargrade/medlargrade/process"
	standinplatform "github.com/medlargrade/medlargrade/standin/platform"
	standinworker "github.com/medlargrade/medlargrade/standin/worker"
)

// standinPlatformCommand runs a stand-in for the platform.
type standinPlatformCommand struct {
	Address         string  `long:"address" required:"true" description:"IP:port to serve"`
	WritesPerSecond float64 `long:"writes" default:"400" description:"writes per second"`
	ReadsPerSecond  float64 `long:"reads" default:"2000" description:"reads per second"`
	LogLevel        string  `long:"log-level" default:"info" description:"debug, info, warn or error"`
}

// Execute serves until SIGTERM or SIGINT.
func (c *standinPlatformCommand) Execute([]string) error {
	log := process.NewLogger(c.LogLevel, "standin-platform")
	return serveStandin(c.Address, standinplatform.New(standinplatform.Settings{
		WritesPerSecond: c.WritesPerSecond, ReadsPerSecond: c.ReadsPerSecond,
	}, log))
}

// standinWorkerCommand runs a stand-in for a worker.
type standinWorkerCommand struct {
	Address  string `long:"address" required:"true" description:"IP:port to serve"`
	Slots    int    `long:"slots" default:"8" description:"accelerators of the worker"`
	LogLevel string `long:"log-level" default:"info" description:"debug, info, warn or error"`
}

// Execute serves until SIGTERM or SIGINT.
func (c *standinWorkerCommand) Execute([]string) error {
	log := process.NewLogger(c.LogLevel, "standin-worker")
	w := standinworker.New(standinworker.Settings{Slots: c.Slots}, log)
	defer w.Close()
	return serveStandin(c.Address, w)
}

func serveStandin(address string, h http.Handler) error {
	if err := process.CheckAddress("address", address); err != nil {
		return &ExitError{ExitProblems, err}
	}
	ctx, cancel := signals()
	defer cancel()
	lis, err := process.TCP().Listen(ctx, address)
	if err != nil {
		return err
	}
	return process.ServeHTTP(ctx, lis, h)
}
