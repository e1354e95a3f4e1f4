package peer

import "time"

const (
	// protocolVersion is compared in Hello; ends with different versions don't talk.
	protocolVersion = 2

	// pingInterval is the time between pings while exchanges are in flight.
	pingInterval = 250 * time.Millisecond
	// suspectPings unanswered intervals keep new exchanges off a connection.
	suspectPings = 2
	// silentPings unanswered intervals end a connection: a call on a silent
	// connection fails after (silentPings+1) * pingInterval at most.
	silentPings = 3
	// quietIntervals without a ping, while exchanges run, end a connection at the accepting end.
	quietIntervals = 5
	// probeAfterIdle is the idle time after which a connection is probed before its next use.
	probeAfterIdle = 5 * time.Second
	// probeTimeout bounds that probe.
	probeTimeout = 250 * time.Millisecond

	// unheardAfter is how long a call that may be repeated waits on a connection that carries nothing before the other
	// end is asked; it then has unheardIntervals of unheardInterval to answer. Together they leave half of a time
	// limit of 700 ms, and the two intervals are longer than a round trip between regions.
	unheardAfter     = 150 * time.Millisecond
	unheardInterval  = 100 * time.Millisecond
	unheardIntervals = 2
	// connectPatience bounds how long a call waits for a connection, so that it can go to another host: two round trips
	// between regions. The attempt goes on meanwhile, for dialTimeout at most.
	connectPatience = 300 * time.Millisecond

	// dialTimeout bounds connecting, authentication and Hello.
	dialTimeout = 2 * time.Second
	// helloTimeout bounds how long an accepted connection may stay without a valid Hello.
	helloTimeout = 3 * time.Second
	// idleTimeout closes a connection that carried no exchange for so long.
	idleTimeout = 5 * time.Minute
	// writeTimeout bounds how long a write to a stream may make no progress.
	writeTimeout = 10 * time.Second

	// firstBackoff and maxBackoff bound the pause after a failed connection attempt.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 2 * time.Second

	// maxHeaderBytes bounds the headers of a call and of an answer.
	maxHeaderBytes = 256 << 10
	// maxControlBytes bounds a control frame.
	maxControlBytes = 4 << 10
	// maxFrameData is the largest part of a body in one frame.
	maxFrameData = 32 << 10
	// maxFrameBytes bounds a body frame: its data and its other fields.
	maxFrameBytes = maxFrameData + 128
	// maxMessageBytes bounds a unary message.
	maxMessageBytes = 64 << 20
	// inlineBodyBytes is the largest body that is sent in one write with its header.
	inlineBodyBytes = 16 << 10
	// readBufferBytes is the size of the read buffer of a stream.
	readBufferBytes = 4 << 10

	// defaultMaxStreams bounds the exchanges that one connection may have in flight.
	defaultMaxStreams = 4096
	// defaultMaxSessions bounds the connections that a server accepts.
	defaultMaxSessions = 16384
	// maxPendingHellos bounds accepted connections that have not said Hello.
	maxPendingHellos = 512
	// maxEarlyCancels bounds the cancellations kept for exchanges whose stream has not come yet.
	maxEarlyCancels = 64
)
