// Package platform is the client of the platform's table service and object
// store. Client implements rows.Store over HTTP.
//
// Every error is an outcome.StepError whose peer is the platform's address and
// whose cause is one of the errors that rows.Store names:
//
//   - rows.ErrNotFound, *rows.ConflictError: the platform says so.
//   - *rows.UnavailableError: the request could not be sent, the platform says
//     that it was not applied, or a read failed for whatever reason.
//   - *rows.LostAnswerError: a write may have taken effect.
//
// A write with a lost answer may also still be on its way: a read that follows
// can miss it and a later one see it. See Client.Write.
//
// # Usage
//
//	store := platform.New(httpClient, platform.Settings{Address: "http://10.0.0.1:8400"})
//	row, err := store.Read(ctx, rows.TableConfig, rows.HeadKey)
package platform
