package caller

import "time"

// SetIdle changes how long connections without a call are kept.
func (c *Caller) SetIdle(span time.Duration) { c.idleTimeout = span }
