package runner

import (
	"context"
	"errors"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/coordination/observer"
	"github.com/cottonlanding/cottonlanding/internal/duty/ticker"
)

const (
	submitEvery   = cottonlanding.Second
	submitTimeout = 5 * cottonlanding.Second
)

// submittedJobs are the jobs of the operators' file that are not known to be
// accepted yet.
type submittedJobs struct {
	mu      sync.Mutex
	waiting map[cottonlanding.JobName]cottonlanding.JobSpec
}

func newSubmittedJobs() *submittedJobs {
	return &submittedJobs{waiting: make(map[cottonlanding.JobName]cottonlanding.JobSpec)}
}

func (s *submittedJobs) set(specs []cottonlanding.JobSpec) {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.waiting)
	for _, spec := range specs {
		s.waiting[spec.Name] = spec
	}
}

func (s *submittedJobs) list() []cottonlanding.JobSpec {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]cottonlanding.JobSpec, 0, len(s.waiting))
	for _, spec := range s.waiting {
		out = append(out, spec)
	}
	return out
}

func (s *submittedJobs) settle(spec cottonlanding.JobSpec) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting[spec.Name] == spec {
		delete(s.waiting, spec.Name)
	}
}

// submitJobs submits the jobs of the operators' file that fall to this daemon.
// Submitting is idempotent, so that two daemons that disagree do no harm.
func (r *Runner) submitJobs() {
	turns := ticker.New(submitEvery)
	defer turns.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-turns.Next():
		}
		for _, spec := range r.submitted.list() {
			if fallsTo(r.observer.View(), spec.Name) == r.registrar.Session().ID {
				r.submitJob(spec)
			}
		}
	}
}

// fallsTo returns the session that submits a job of the operators' file.
func fallsTo(view observer.View, name cottonlanding.JobName) cottonlanding.SessionID {
	var best cottonlanding.SessionID
	var highest uint64
	for _, session := range view.Live {
		rank := xxhash.Sum64String(string(name) + "|" + string(session.ID))
		if best == "" || rank > highest {
			best, highest = session.ID, rank
		}
	}
	return best
}

func (r *Runner) submitJob(spec cottonlanding.JobSpec) {
	ctx, cancel := context.WithTimeout(r.ctx, submitTimeout.Duration())
	defer cancel()
	err := r.router.Submit(ctx, spec)
	switch {
	case err == nil:
		r.submitted.settle(spec)
	case errors.Is(err, cottonlanding.ErrConflict), errors.Is(err, cottonlanding.ErrCannotRun):
		r.submitted.settle(spec)
		r.log.Error("a job of the configuration was refused", "Job", spec.Name, "Error", err)
	}
}
