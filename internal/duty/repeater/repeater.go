// Package repeater runs the step of a duty again and again on a goroutine of its
// own.
package repeater

import (
	"context"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/duty/ticker"
	"github.com/cottonlanding/cottonlanding/internal/duty/waker"
)

// Repeater runs one duty.
type Repeater struct {
	cancel context.CancelFunc
	nudge  waker.Waker
	ended  chan struct{}
}

// New runs step at once, then each interval and whenever it is nudged, until it
// is closed. The context of a step ends with the repeater.
func New(interval cottonlanding.Millis, step func(ctx context.Context)) *Repeater {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Repeater{cancel: cancel, nudge: waker.New(), ended: make(chan struct{})}
	go func() {
		defer close(r.ended)
		r.run(ctx, interval, step)
	}()
	return r
}

func (r *Repeater) run(ctx context.Context, interval cottonlanding.Millis, step func(ctx context.Context)) {
	turns := ticker.New(interval)
	defer turns.Stop()
	for {
		step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-turns.Next():
		case <-r.nudge:
		}
		if ctx.Err() != nil {
			return
		}
	}
}

// Nudge runs the step as soon as the present one has ended.
func (r *Repeater) Nudge() {
	r.nudge.Wake()
}

// Close ends the duty and waits for a step that is under way.
func (r *Repeater) Close() {
	r.cancel()
	<-r.ended
}
