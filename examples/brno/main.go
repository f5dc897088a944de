// Command brno prints the configuration of the Brno deployment: a maker of
// springs and needles with 11 workers in three data centres.
//
// Customers wait at the counter for quotes, and their demand varies over the day.
// Analyses of spring tension can wait overnight. The guarantees leave the capacity
// of one rack unreserved, so they hold when any one rack is lost.
//
//	go run ./examples/brno > brno.json
//	medlargrade config diff brno.json
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/medlargrade/medlargrade/operator"
)

func main() {
	cfg := config()
	problems := cfg.Check()
	for _, p := range problems {
		fmt.Fprintln(os.Stderr, p)
	}
	if len(problems) > 0 {
		os.Exit(1)
	}
	if _, err := os.Stdout.Write(cfg.JSON()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func config() operator.Config {
	site := operator.NewSite("brno").
		WithSlotsPerWorker(8).
		WithDataCentre(operator.NewDataCentre("dc1").WithRack("dc1-r1", 3).WithRack("dc1-r2", 2)).
		WithDataCentre(operator.NewDataCentre("dc2").WithRack("dc2-r1", 3)).
		WithDataCentre(operator.NewDataCentre("dc3").WithRack("dc3-r1", 3))

	gang := operator.NewShape(2, 8).WithAdjacency(operator.AdjacentRack)

	// The load of quotes follows the demand at the counter, so the counter has the
	// largest guarantee, in single slots, which fit into any gap on a worker.
	cfg := operator.NewConfig(site).
		WithWorkspace(operator.NewWorkspace("counter").WithGuarantee(operator.NewShape(16, 1)).WithQueueLimit(4000)).
		WithWorkspace(operator.NewWorkspace("springs").WithGuarantee(gang)).
		WithWorkspace(operator.NewWorkspace("machines").WithGuarantee(gang)).
		WithWorkspace(operator.NewWorkspace("catalogue").WithGuarantee(operator.NewShape(4, 1).WithAdjacency(operator.AdjacentWorker)))

	for _, w := range []string{"springs", "machines"} {
		cfg = cfg.WithKind(operator.NewKind(w, "tension-analysis", operator.ClassLong).WithIdempotent(true).WithLimit(14 * time.Hour))
	}
	for _, w := range []string{"counter", "springs", "machines"} {
		cfg = cfg.WithKind(operator.NewKind(w, "quote", operator.ClassShort).WithIdempotent(true).WithLimit(15 * time.Second))
	}
	// An order is placed from the quote that the customer accepted.
	return cfg.
		WithKind(operator.NewKind("counter", "order", operator.ClassShort).WithLimit(30 * time.Second)).
		WithKind(operator.NewKind("catalogue", "needle-wear", operator.ClassFill).WithIdempotent(true).WithLimit(6 * time.Hour))
}
