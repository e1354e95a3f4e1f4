package dispatch

// Bounds of a request with MaxTargets that a check of a configuration compares with the limits of its routes.
const (
	// MaxAttempts bounds the attempts of one request, whatever its route allows.
	MaxAttempts = maxAttempts
	// MinAttemptTime is the time that must be left until the deadline for an attempt after the first.
	MinAttemptTime = minAttemptTime
)
