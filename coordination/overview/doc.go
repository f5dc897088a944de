// Package overview reads from the store what a site does at the moment: who plans
// it, which targets it has, which jobs have not ended and what each workspace uses
// of its guarantee. It only reads.
//
// # Usage
//
//	o, err := overview.Read(ctx, store, "0", snapshot)
package overview
