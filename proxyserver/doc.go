// Package proxyserver runs a coordinator on the operators' platform: sockets by gnet on one event loop, discovery and probes by
// HTTP/1.1, signals, the clock. One goroutine owns the decision module and what package platform keeps of tables and
// streams; the event loop, discovery's watch, probes and signals hand in what they have through its inbox. Everything
// that waits is bounded.
package proxyserver
