// Package workerapi holds the JSON types and paths of the HTTP protocol of a
// worker, which runs tasks under leases.
//
// A failed request has a status of 400 or more and an ErrorReply with a Code.
// Such a reply means that the request had no effect. Times are in milliseconds;
// IDs in paths are escaped as one path segment.
//
// # Usage
//
//	POST /tasks
//	{"ID": "j1/1", "Slots": 2, "Held": true, "LeaseMillis": 6000, "Payload": "e30="}
//
//	200
//	{"ID": "j1/1", "State": "Held"}
package workerapi
