package messenger

// The spans from which tests derive how soon a silent connection must be gone.
const (
	IdleTimeout      = idleTimeout
	KeepAliveTime    = keepAliveTime
	KeepAliveTimeout = keepAliveTimeout
)
