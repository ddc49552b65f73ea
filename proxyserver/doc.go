// Package proxyserver runs a coordinator on the operators' platform: the sockets of proxies and collectors, discovery, health
// checks, timers and the decision module.
//
// # Goroutines
//
// One goroutine, that of [Coordinator.Run], owns the decision module and all state that follows from its orders: tables and streams
// (package proxyproto), endpoints, timers and the watch of discovery. It is called the owner. The event loop of the sockets (gnet),
// the calls to discovery, the health checks and Reload send their inputs to the owner through a mailbox. All queues are bounded.
//
// # Files
//
// Start with [New] and [Coordinator.Run] in coordinator.go, then the owner's loop in loop.go. module.go runs the decision module
// and replaces it after a panic; timers.go has its timers; watcher.go and watchevents.go follow discovery with the calls in
// discovery.go; endpoints.go stores the endpoint list; server.go, connections.go, handover.go and listen.go contain the event
// loop; stats.go and process.go write the status line.
package proxyserver
