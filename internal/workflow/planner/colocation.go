package planner

import (
	"github.com/cottonlanding/cottonlanding"
)

// A data centre that is cut off delays each workflow that has a task there. Spread over all data centres, nearly
// every workflow would have one; with each workflow kept in one data centre, a cut delays only the workflows of that
// data centre. Lasting tasks stay spread, because each of them counts for itself and their workflow must not lose all
// of them at once.

// preferWorkflowDataCentre returns the candidates in the data centre of the task's workflow. If there are none, it
// chooses another data centre for the workflow.
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
