// Command quillfold prints the configuration of the Quillfold deployment: a maker
// of window blinds with 11 workers in four data centres.
//
// Its long jobs nest whole rolls of fabric on adjacent accelerators, while people at
// the cutting tables wait for checks of single blinds. The guarantees leave the
// capacity of one rack unreserved, so they hold when any one rack is lost.
//
//	go run ./examples/quillfold > quillfold.json
//	medlargrade config diff quillfold.json
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
	site := operator.NewSite("quillfold").
		WithSlotsPerWorker(8).
		WithDataCentre(operator.NewDataCentre("dc1").WithRack("dc1-r1", 3)).
		WithDataCentre(operator.NewDataCentre("dc2").WithRack("dc2-r1", 3)).
		WithDataCentre(operator.NewDataCentre("dc3").WithRack("dc3-r1", 3)).
		WithDataCentre(operator.NewDataCentre("dc4").WithRack("dc4-r1", 2))

	gang := operator.NewShape(2, 8).WithAdjacency(operator.AdjacentRack)
	single := operator.NewShape(4, 1)

	// The two large workrooms nest rolls all day. The workspace contracts does so in
	// bursts, for which it uses idle capacity. The workspace samples only checks cuts
	// and re-nests offcuts.
	cfg := operator.NewConfig(site).
		WithWorkspace(operator.NewWorkspace("roller").WithGuarantee(gang).WithGuarantee(single)).
		WithWorkspace(operator.NewWorkspace("pleated").WithGuarantee(gang).WithGuarantee(single)).
		WithWorkspace(operator.NewWorkspace("contracts").WithGuarantee(gang)).
		WithWorkspace(operator.NewWorkspace("samples").WithGuarantee(single).WithQueueLimit(200))

	for _, w := range []string{"roller", "pleated", "contracts"} {
		cfg = cfg.WithKind(operator.NewKind(w, "roll-nesting", operator.ClassLong).WithIdempotent(true).WithLimit(12 * time.Hour))
	}
	for _, w := range []string{"roller", "pleated", "contracts", "samples"} {
		cfg = cfg.
			WithKind(operator.NewKind(w, "cut-check", operator.ClassShort).WithIdempotent(true).WithLimit(10 * time.Second)).
			WithKind(operator.NewKind(w, "offcut-renest", operator.ClassFill).WithIdempotent(true).WithLimit(4 * time.Hour))
	}
	// A release sends the plan to a cutting table, so it must not run twice.
	return cfg.WithKind(operator.NewKind("roller", "plan-release", operator.ClassShort).WithLimit(30 * time.Second))
}
