// Package reqbody holds the bodies of requests that are forwarded, possibly several times.
//
// # Invariant
//
// A body has one reader at a time. A Body belongs to the goroutine that handles the request, its owner. To forward it,
// the owner lends it (Body.Lend) and passes the Lease on. While the lease is out, the owner's own methods that read,
// replay or discard fail: only the holder of the lease gets bytes. The lease is returned when its holder has closed it and
// none of its reads is in progress. Body.Recall makes the reads of the holder fail, also one that waits for bytes, and
// waits until the lease is returned. Only then are the owner's methods available again, and the offset that the holder
// reached is known, so that Body.Replayable is exact.
//
// A lease ends for good when it is closed or recalled: a goroutine that still has it gets an error that is not io.EOF, so
// that it can't take what it has forwarded for the whole body. Nobody gets bytes that another lease has missed.
//
// # Who reads the source
//
// A read of the source can't be ended without losing bytes, so the holder of a lease doesn't read the source itself: a
// goroutine of the body does (the pump), and hands over one part at a time. A read that waits for a slow caller stays with the pump when
// a lease is recalled. What it brings goes to the next lease, or is discarded by the owner. The pump begins with
// the first read past the start that is kept in memory. At most maxPumped bytes are read ahead of the holder.
//
// A body that is never sent a second time (NewInterruptible) has no pump: the lease reads its source, and Recall ends
// a read that blocks by interrupting the source, after which the rest of the body is lost.
//
// A body that is in memory as a whole never changes, so that its leases need not be returned.
package reqbody
