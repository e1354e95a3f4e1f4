package peer

import "time"

const (
	// protocolVersion is compared in Hello; nodes with different versions refuse the connection.
	protocolVersion = 2

	// pingInterval is the time between pings while exchanges are in flight.
	pingInterval = 250 * time.Millisecond
	// suspectAfterMissed is the number of ping intervals without a pong after which new exchanges avoid a connection.
	suspectAfterMissed = 2
	// silentAfterMissed is the number of ping intervals without a pong after which a connection is closed: a call on a
	// silent connection fails after (silentAfterMissed+1) * pingInterval at most.
	silentAfterMissed = 3
	// lostAfterMissed is the number of intervals without a ping, while exchanges run, after which the accepting side
	// closes a connection.
	lostAfterMissed = 5
	// probeAfterIdle is the idle time after which a connection is probed before its next use.
	probeAfterIdle = 5 * time.Second
	// probeTimeout limits how long that probe waits for its pong.
	probeTimeout = 250 * time.Millisecond

	// watchdogQuietTime is how long an idempotent call waits on a connection that receives nothing before it pings the
	// peer, which then has watchdogMissedIntervals of watchdogInterval to answer. Together they leave half of a
	// deadline of 700 ms for another attempt, and the two intervals are longer than a round trip between regions.
	watchdogQuietTime       = 150 * time.Millisecond
	watchdogInterval        = 100 * time.Millisecond
	watchdogMissedIntervals = 2
	// unaryQuietTime is the same for unary requests that may be repeated at another peer. It is longer than
	// pingInterval, so that a request that waits long for its answer costs no pings beside those of the connection.
	unaryQuietTime = pingInterval + 50*time.Millisecond
	// maxConnectWait limits how long a call waits for a new connection before it fails and can go to another host: two
	// round trips between regions. The connection attempt itself continues, for dialTimeout at most.
	maxConnectWait = 300 * time.Millisecond

	// dialTimeout limits a connection attempt: connecting, authentication and Hello.
	dialTimeout = 2 * time.Second
	// helloTimeout is the time within which an accepted connection must send a valid Hello.
	helloTimeout = 3 * time.Second
	// idleTimeout is the time without an exchange after which a connection is closed.
	idleTimeout = 5 * time.Minute
	// writeTimeout is how long a write to a stream may make no progress.
	writeTimeout = 10 * time.Second

	// firstBackoff and maxBackoff are the shortest and longest pause after a failed connection attempt, before jitter.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 2 * time.Second

	// maxHeaderBytes limits the headers of a call and of an answer.
	maxHeaderBytes = 256 << 10
	// maxControlBytes limits a control frame.
	maxControlBytes = 4 << 10
	// maxFrameData is the largest part of a body in one frame.
	maxFrameData = 32 << 10
	// maxFrameBytes limits a body frame: its data and its other fields.
	maxFrameBytes = maxFrameData + 128
	// maxMessageBytes limits a unary message.
	maxMessageBytes = 64 << 20
	// inlineBodyBytes is the largest body that is sent in one write with its header.
	inlineBodyBytes = 16 << 10
	// StreamWindow is the largest number of bytes that a stream holds for a reader that does not read.
	StreamWindow = 256 << 10
	// readBufferBytes is the size of the read buffer of a stream.
	readBufferBytes = 4 << 10

	// defaultMaxStreams limits the exchanges in flight on one connection.
	defaultMaxStreams = 4096
	// defaultMaxSessions limits the open connections of a server.
	defaultMaxSessions = 16384
	// maxPendingHandshakes limits the accepted connections that have not completed the Hello handshake.
	maxPendingHandshakes = 512
	// maxEarlyCancels limits the cancellations kept for exchanges whose stream has not arrived yet.
	maxEarlyCancels = 64
)
