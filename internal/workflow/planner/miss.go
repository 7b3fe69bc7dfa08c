package planner

import "github.com/cottonlanding/cottonlanding"

// miss is a task that found no worker in a pass. Workers only fill up during a
// pass, so that a task which needs as much or more finds none either.
type miss struct {
	service cottonlanding.ServiceName
	label   cottonlanding.Label
	kind    kind
	image   cottonlanding.Image
	need    cottonlanding.Resources
}

// missList holds the misses of one pass.
type missList struct {
	misses []miss
}

func missOf(t *task) miss {
	out := miss{
		service: t.job.queue.Service,
		label:   t.stage.Requires,
		kind:    kindOf(t.stage.Step),
		need:    t.stage.Resources,
	}
	if t.stage.Fills {
		out.image = t.stage.Image // how it disturbs others depends on it
	}
	return out
}

// add notes a miss, unless it comes from a bound of the task's own.
func (l *missList) add(t *task) {
	if t.stage.MostPerWorker == 0 {
		l.misses = append(l.misses, missOf(t))
	}
}

// cover reports whether a task surely finds no worker. Room may be kept for a
// lasting task alone, so that nothing is sure for those.
func (l *missList) cover(t *task) bool {
	if t.stage.Lasting {
		return false
	}
	wanted := missOf(t)
	for _, m := range l.misses {
		same := m.service == wanted.service && m.label == wanted.label && m.kind == wanted.kind && m.image == wanted.image
		if same && m.need.Fits(wanted.need) {
			return true
		}
	}
	return false
}
