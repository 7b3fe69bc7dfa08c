// Package pauser lets a duty wait between two steps.
package pauser

import (
	"context"
	"time"

	"github.com/cottonlanding/cottonlanding"
)

// Pause waits for a span, or until ctx ends. It returns at once if the span is not positive.
func Pause(ctx context.Context, span cottonlanding.Millis) {
	Wait(ctx, span, nil)
}

// Wait is Pause that also ends when wake can be received from. It never receives from a
// timer that is due already: the race detector of Go crashes in that inside of a synctest
// bubble.
func Wait(ctx context.Context, span cottonlanding.Millis, wake <-chan struct{}) {
	if span <= 0 {
		return
	}
	timer := time.NewTimer(span.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-wake:
	case <-ctx.Done():
	}
}
