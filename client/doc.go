// Package client is the library for gateways and tools. A gateway gets its routing tables with it, from files or by long
// polls, acknowledges them, and reports its load; a tool requests a coordinator's status.
//
// A gateway makes a Link to the coordinator and a Reader for its directory, or a Poller in the Reader's place. It applies
// each update to its Tables, acknowledges it on the Link, and reports once a period:
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
// If the Link breaks, the gateway goes on with the tables that it has.
//
// A Link is safe for concurrent use. A Reader, a Tables and each document of a Poller belong to one goroutine. A request that the
// coordinator rejects is a [RejectedError], which errors.Is matches with [ErrRejected].
package client
