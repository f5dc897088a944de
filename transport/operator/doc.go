// Package operator serves the HTTP API for operators and the platform's load
// balancer.
//
//	GET  /health   200 while the process serves requests
//	GET  /ready    200 if the process accepts work, otherwise 503 with the reason
//	GET  /status   a summary as JSON
//	GET  /dump     the complete state as JSON
//	GET  /metrics  metrics in the Prometheus text format
//	POST /drain    starts a drain and returns 202
//	POST /place    where a job would be placed now, as JSON
//
// # Usage
//
//	h := operator.Handler(operator.Settings{
//		Ready:   process.Ready,
//		Status:  process.Status,
//		Dump:    process.Dump,
//		Drain:   process.Drain,
//		Metrics: set,
//		Log:     log,
//	})
//	s := caller.NewServer(h, log)
package operator
