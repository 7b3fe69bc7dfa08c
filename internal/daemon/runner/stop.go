package runner

import (
	"context"
	"time"

	"github.com/cottonlanding/cottonlanding"
)

const (
	// balancerDelay is how long a leaving host still takes requests, so that the
	// balancer can notice.
	balancerDelay = cottonlanding.Second
	// finishWithin bounds the wait for requests and commits at a planned stop.
	finishWithin = 20 * cottonlanding.Second
	releaseWait  = 5 * cottonlanding.Second
)

// Drain makes a planned stop: the host takes no new callers, hands over its
// cells and finishes what it has begun. It returns when that is done.
func (r *Runner) Drain() {
	r.drain()
	<-r.drained
}

func (r *Runner) drain() {
	r.drainOnce.Do(func() {
		defer close(r.drained)
		r.leaving.Store(true)
		r.registrar.Leave()
		r.log.Info("draining")
		ctx, cancel := context.WithTimeout(context.Background(), releaseWait.Duration())
		defer cancel()
		if err := r.owner.Drain(ctx); err != nil {
			r.log.Warn("cells were not handed over", "Error", err)
		}
		time.Sleep(balancerDelay.Duration())
		finish, cancelFinish := context.WithTimeout(context.Background(), finishWithin.Duration())
		defer cancelFinish()
		if err := r.dispatcher.Close(finish); err != nil {
			r.log.Warn("requests were cut off", "Error", err)
		}
		r.log.Info("drained")
	})
}

// Close drains and ends the daemon.
func (r *Runner) Close() {
	r.Drain()
	ctx, cancel := context.WithTimeout(context.Background(), releaseWait.Duration())
	defer cancel()
	if err := r.listener.Close(ctx); err != nil {
		r.log.Warn("connections were cut off", "Error", err)
	}
	r.end(ctx)
	r.log.Info("stopped")
}

// abort ends a daemon that could not start.
func (r *Runner) abort() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = r.dispatcher.Close(ctx) // it has no calls
	r.end(ctx)
}

func (r *Runner) end(ctx context.Context) {
	r.cancel()
	r.duties.Wait()
	r.borrower.Close()
	r.exchanger.Close()
	r.messenger.Close(ctx)
	r.sweeper.Close()
	r.claimer.Close()
	r.follower.Close()
	r.observer.Close()
	r.claims.Close(ctx)
	r.decisions.Close(ctx)
	r.owner.Close()
	if err := r.seater.Close(ctx); err != nil {
		r.log.Warn("seat", "Error", err)
	}
	if err := r.registrar.Close(ctx); err != nil {
		r.log.Warn("session", "Error", err)
	}
	if err := r.metrics.Close(); err != nil {
		r.log.Warn("metrics", "Error", err)
	}
}
