package planner_test

import (
	"testing"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/policy/selector"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// FuzzRows checks that an owner refuses or loads the rows of a workflow, and can decide with what it has loaded.
func FuzzRows(f *testing.F) {
	spec := []byte(`{"Workflow":{"ID":"w","Queue":"Urgent","Steps":[{"Tasks":2,"Resources":{"CPU":100}}]},"Queue":{"Name":"Urgent","Service":"S"}}`)
	f.Add(spec, []byte(`{"State":"Running","Begun":true,"Rounds":1,"Tasks":[["A",3,"w1",0,"",2,1],["D"]]}`))
	f.Add(spec, []byte(`{"State":"Running","Tasks":[["A",3,"w1"],["",1,"",1,"c"]]}`))
	f.Add([]byte(`{"Workflow":{"ID":"w","Queue":"Urgent","Steps":[{"Tasks":2,"Gang":true,"Checkpoints":true}]}}`),
		[]byte(`{"State":"Running","Tasks":[["A",3,"w1",0,"c",0,0,""],["A",3,"w2"]]}`))
	f.Add(spec, []byte(`{"State":"Pending","Tasks":[[7]]}`))
	f.Add([]byte(`{}`), []byte(`{}`))
	f.Fuzz(func(t *testing.T, spec, state []byte) {
		if len(spec)+len(state) > 1000 {
			return // rows of thousands of rounds take long
		}
		cell := planner.New(planner.Setup{Partition: partition, Epoch: 2}, timing, selector.Default().Planner, discardLog())
		row := func(key cottonlanding.Key, value []byte) []cottonlanding.Row {
			return []cottonlanding.Row{{Key: key, Version: 1, Value: value}}
		}
		if err := cell.Load(row(planner.SpecKey(partition, "w"), spec), row(planner.StateKey(partition, "w"), state), 1000); err != nil {
			return
		}
		cell.Decide(1000, 1000)
		cell.Plan(1000)
	})
}
