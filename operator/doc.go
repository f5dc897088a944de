// Package operator builds the configuration of a medlargrade site.
//
// Operators write a small program that builds a Config from immutable values
// and prints it as JSON. The output is reviewed in the same way as code and then
// applied with "medlargrade config apply".
//
// # Usage
//
//	site := operator.NewSite("north").
//		WithDataCentre(operator.NewDataCentre("dc1").WithRack("r1", 3)).
//		WithSlotsPerWorker(8)
//	cfg := operator.NewConfig(site).
//		WithWorkspace(operator.NewWorkspace("web").
//			WithGuarantee(operator.NewShape(2, 8).WithAdjacency(operator.AdjacentRack))).
//		WithKind(operator.NewKind("web", "render", operator.ClassLong).WithIdempotent(true))
//	if problems := cfg.Check(); len(problems) > 0 {
//		log.Fatal(problems)
//	}
//	os.Stdout.Write(cfg.JSON())
//
// Parse decodes the JSON form. Check reports all problems at once; Warnings reports
// what is allowed but probably not intended. Diff lists the differences between two
// configurations for a reviewer. A Delta is the same difference in a form that a
// program can apply:
//
//	delta := operator.NewDelta(old, cfg)
//	got, err := delta.Apply(old) // got has the JSON form of cfg
package operator
