// Package proxyproto speaks the operators' platform's protocol: its messages to events, once they have passed all checks,
// and orders to its messages, stream by stream. It is pure: bytes and values in, values and bytes out. The limits in it come
// from the protocol, the settings or the configuration; it decides nothing that steers traffic.
package proxyproto
