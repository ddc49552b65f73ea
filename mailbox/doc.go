// Package mailbox provides the input queue of a goroutine that owns some state (an actor): two bounded lock-free lanes,
// one of them urgent.
//
// Any number of goroutines put events into a [Mailbox], without waiting ([Mailbox.TryPut], [Mailbox.TryPutUrgent]) or retrying
// until the event is accepted ([Mailbox.PutUrgent]); all of these are safe for concurrent use. One goroutine, the owner, takes
// the events out in batches with [Mailbox.Next]. The package starts no goroutines.
package mailbox
