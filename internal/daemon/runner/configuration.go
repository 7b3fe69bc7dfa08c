package runner

import (
	"context"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/coordination/follower"
	"github.com/cottonlanding/cottonlanding/internal/placement/scheduler"
	"github.com/cottonlanding/cottonlanding/internal/policy/evictor"
	"github.com/cottonlanding/cottonlanding/internal/policy/orderer"
	"github.com/cottonlanding/cottonlanding/internal/policy/placer"
	"github.com/cottonlanding/cottonlanding/internal/request/dispatcher"
	"github.com/cottonlanding/cottonlanding/internal/settings/loader"
)

// Apply puts the first configuration in force.
func (r *Runner) Apply(ctx context.Context, text []byte) error {
	_, err := r.follower.Apply(ctx, text, 0)
	return err
}

// offerSnapshot keeps the newest generation for followConfiguration. It is never
// called twice at a time.
func (r *Runner) offerSnapshot(snapshot follower.Snapshot) {
	select {
	case <-r.snapshots:
	default:
	}
	r.snapshots <- snapshot
}

func (r *Runner) followConfiguration() {
	for {
		select {
		case <-r.ctx.Done():
			return
		case snapshot := <-r.snapshots:
			r.putInForce(snapshot)
		}
	}
}

func (r *Runner) putInForce(snapshot follower.Snapshot) {
	configuration, err := loader.ParseConfiguration("configuration", snapshot.Text)
	if err != nil {
		r.log.Error("an accepted configuration can't be read", "Generation", snapshot.Generation, "Error", err)
		return
	}
	r.owner.SetRules(rules(configuration))
	r.dispatcher.SetConfiguration(configuration)
	r.claimer.SetKeep(configuration.Limits.KeepAnswers)
	longest := dispatcher.LongestRequest(configuration.Services)
	r.seater.SetSettling(longest)
	r.lender.SetServices(configuration.Services, longest)
	r.submitted.set(configuration.Jobs)
	r.exchanger.Nudge()
	r.inForce.Store(true)
	r.log.Info("configuration in force", "Generation", snapshot.Generation, "Evacuated", configuration.Evacuated)
	if evacuated := configuration.Evacuates(r.settings.DataCentre); r.evacuated.Swap(evacuated) != evacuated {
		r.log.Info("data centre evacuated", "DataCentre", r.settings.DataCentre, "Evacuated", evacuated)
		r.evacuatedDue.Wake()
	}
}

// rules picks the policies that a configuration names; loader has checked them.
func rules(configuration cottonlanding.Configuration) scheduler.Rules {
	placement, _ := placer.Catalog.Get(configuration.Policies.Placement)
	eviction, _ := evictor.Catalog.Get(configuration.Policies.Eviction)
	admission, _ := orderer.Catalog.Get(configuration.Policies.Admission)
	return scheduler.Rules{
		Placement: placement,
		Eviction:  eviction,
		Admission: admission,
		Limits:    configuration.Limits,
		Teams:     configuration.Teams,
		Evacuated: configuration.Evacuated,
	}
}
