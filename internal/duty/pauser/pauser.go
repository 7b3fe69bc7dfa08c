// Package pauser lets a duty wait between two steps.
package pauser

import (
	"context"
	"time"

	"github.com/cottonlanding/cottonlanding"
)

// Pause waits for a span, or until ctx ends. It returns at once if the span is not positive.
func Pause(ctx context.Context, span cottonlanding.Millis) {
	timer := time.NewTimer(span.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
