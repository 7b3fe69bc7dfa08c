package planner

import (
	"github.com/cottonlanding/cottonlanding"
)

// A data centre that is cut off holds up each workflow that has a task there. Dealt over all data
// centres, nearly every workflow has one; kept together, one of as many as there are data
// centres is hit, and the others go on. Lasting tasks stay dealt out: of those each counts for
// itself, and their workflow must not lose all at once.

// preferWorkflowDataCentre returns the candidates in the data centre of the task's workflow, or in another one
// that becomes it if there are none.
func (c *Cell) preferWorkflowDataCentre(t *task, candidates []*worker, now cottonlanding.Millis) []*worker {
	if !c.policy.KeepsInOneDataCentre || t.stage.Lasting || len(candidates) < 2 {
		return candidates
	}
	if colocated := inDataCentre(candidates, t.job.dataCentre); len(colocated) > 0 {
		return colocated
	}
	t.job.dataCentre = c.mostFreeDataCentre(candidates, now)
	return inDataCentre(candidates, t.job.dataCentre)
}

func inDataCentre(workers []*worker, dataCentre cottonlanding.DataCentre) []*worker {
	var out []*worker
	for _, w := range workers {
		if w.info.DataCentre == dataCentre {
			out = append(out, w)
		}
	}
	return out
}

// mostFreeDataCentre returns the data centre in which the workers have most processors free.
func (c *Cell) mostFreeDataCentre(workers []*worker, now cottonlanding.Millis) cottonlanding.DataCentre {
	free := make(map[cottonlanding.DataCentre]cottonlanding.Millicores)
	best := workers[0].info.DataCentre
	for _, w := range workers {
		free[w.info.DataCentre] += c.room(w, now).free.CPU
	}
	for _, w := range workers {
		if free[w.info.DataCentre] > free[best] {
			best = w.info.DataCentre
		}
	}
	return best
}
