// Package platformapi holds the JSON types and paths of the platform's HTTP
// protocol: a table service with conditional multi-row writes, and an object
// store.
//
// A failed request has a status of 400 or more and an ErrorReply. Reads and
// writes of tables are POST requests with a JSON body. Objects are raw bodies:
// GET and PUT of PathObject followed by the key, escaped as one path segment.
// A PUT has the header If-None-Match: * and is refused with the status 412 if
// the object exists.
//
// # Usage
//
//	POST /table/write
//	{"Writes": [{"Table": "Job", "Key": "w1/k1", "IfVersion": 3, "Value": "e30="}]}
//
//	409
//	{"Error": "conflict", "Keys": ["Job/w1/k1"], "NotApplied": true}
package platformapi
