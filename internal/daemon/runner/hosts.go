package runner

import (
	"context"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/duty/ticker"
	"github.com/cottonlanding/cottonlanding/internal/peer/exchanger"
)

const (
	// refreshEvery is how often the share of the slots is looked at; each
	// hostsEvery-th time the host list is read.
	refreshEvery = 200 * cottonlanding.Millis(1)
	hostsEvery   = 5
	hostsTimeout = 2 * cottonlanding.Second
)

func (r *Runner) followHosts() {
	turns := ticker.New(refreshEvery)
	defer turns.Stop()
	var executors []cottonlanding.ExecutorInfo
	for turn := 0; ; turn++ {
		if turn%hostsEvery == 0 {
			if hosts, err := r.hosts(); err == nil {
				r.owner.SetHosts(hosts.Workers)
				executors = hosts.Executors
			} else {
				r.hostFailures.Add(1)
			}
		}
		seated := r.seater.Seated()
		usable := executors
		if r.evacuated.Load() {
			usable = nil // what they run goes on; new requests go to peers elsewhere
		}
		r.dispatcher.SetExecutors(usable, r.settings.Seats, seated)
		r.supplied.Store(seated && len(usable) > 0)
		r.lender.SetLending(r.lends(), r.clock.Now())
		select {
		case <-r.ctx.Done():
			return
		case <-r.evacuatedDue:
		case <-turns.Next():
		}
	}
}

// lends reports whether this daemon lends the slots of its data centre.
func (r *Runner) lends() bool {
	for _, summary := range r.owner.Summaries() {
		if summary.Cell == exchanger.LendingCell(r.settings.DataCentre) {
			return r.registrar.Valid()
		}
	}
	return false
}

func (r *Runner) hosts() (cottonlanding.Hosts, error) {
	ctx, cancel := context.WithTimeout(r.ctx, hostsTimeout.Duration())
	defer cancel()
	return r.outside.Hosts.Hosts(ctx, r.settings.DataCentre)
}

// living returns the live sessions, and whether work that one daemon does for all
// falls to this one.
func (r *Runner) living() (map[cottonlanding.SessionID]bool, bool) {
	view := r.observer.View()
	alive := make(map[cottonlanding.SessionID]bool, len(view.Live))
	for _, session := range view.Live {
		alive[session.ID] = true
	}
	return alive, fallsTo(view, "sweep") == r.registrar.Session().ID
}
