// Package routing decides where a request goes and whether it may be sent, queued, repeated or hedged.
//
// It is pure: the clock is a parameter, as the monotonic time since any fixed start, and so is the random source.
// Its types are not safe for concurrent use; the caller holds a lock for each service.
package routing
