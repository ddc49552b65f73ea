// Package client is a library for gateways and tools. A gateway uses it to get its routing tables from files or by long
// polls, to acknowledge them, and to report its load. A tool uses it to request a coordinator's status.
//
// A gateway creates a [Link] to the coordinator and a [Reader] for its directory, or a [Poller] instead of the Reader. It
// applies each [Update] to its [Tables], acknowledges it over the Link, and sends a load report in each period:
//
//	reader := client.NewReader("/run/porthub/tables", "gw-7")
//	link := client.NewLink(client.Options{Node: xds.Node{Name: "gw-7", Zone: "hala-a"}, Coordinator: "127.0.0.1:7070"})
//	var tables client.Tables
//	err := link.Join(ctx, tables)
//	...
//	reader.Follow(ctx, 100*time.Millisecond, func(updates []client.Update) {
//		for _, update := range updates {
//			tables.Apply(update)
//			_ = link.Acknowledge(ctx, update, tables)
//		}
//	})
//
// If the connection to the coordinator breaks, the gateway continues with its current tables.
//
// A Link is safe for concurrent use. A Reader, a Tables, and each document of a Poller must be used by one goroutine only. The
// error for a request that the coordinator rejects is a [RejectedError], which errors.Is matches with [ErrRejected].
package client
