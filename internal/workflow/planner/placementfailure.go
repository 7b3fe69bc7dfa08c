package planner

import "github.com/cottonlanding/cottonlanding"

// placementFailure describes a task that found no worker in a pass. Workers only fill up during a pass, so that a
// task of the same kind that needs as much or more finds none either.
type placementFailure struct {
	service cottonlanding.ServiceName
	label   cottonlanding.Label
	kind    kind
	image   cottonlanding.Image
	need    cottonlanding.Resources
	// span is for how long a budget must last for a filling task.
	span cottonlanding.Millis
}

// placementFailures holds the failures of one pass.
type placementFailures struct {
	failures []placementFailure
}

func (c *Cell) placementFailureOf(t *task) placementFailure {
	out := placementFailure{
		service: t.job.queue.Service,
		label:   t.stage.Requires,
		kind:    kindOf(t.stage.Step),
		need:    t.stage.Resources,
	}
	if t.stage.Fills {
		out.image = t.stage.Image // the interference with serving tasks depends on the image
		out.span = c.policy.Headroom.PlacementSpan(t.stage.expectedTime())
	}
	return out
}

// add records the failure of a task, unless the task's own MostPerWorker limit may have caused it.
func (f *placementFailures) add(t *task, failure placementFailure) {
	if t.stage.MostPerWorker == 0 {
		f.failures = append(f.failures, failure)
	}
}

// covers reports whether a failure of the pass shows that a task, described by wanted, is guaranteed to find no worker.
// Lasting tasks are never covered, since a worker may be held for one of them alone.
func (f *placementFailures) covers(t *task, wanted placementFailure) bool {
	if t.stage.Lasting {
		return false
	}
	for _, m := range f.failures {
		same := m.service == wanted.service && m.label == wanted.label && m.kind == wanted.kind && m.image == wanted.image
		if same && m.need.Fits(wanted.need) && m.span <= wanted.span {
			return true
		}
	}
	return false
}
