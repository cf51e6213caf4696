// Package routing decides where a request goes and whether it may be sent, queued, repeated or hedged.
//
// It does no I/O. The time is a parameter, monotonic since any fixed start, and so is the random source.
// Its types are not safe for concurrent use; the caller holds a lock for each service.
package routing
