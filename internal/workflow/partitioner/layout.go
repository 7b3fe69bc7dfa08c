// Package partitioner divides the workers and the workflows of a deployment among
// cells, each of which one host decides for.
//
// Decisions for one cell look at all its workers for each task, and all its orders,
// looks and commits go over one host's link: with a thousand workers and thousands of
// starts a second both are more than a host has. A cell has whole racks, of each data
// centre as many as any other cell: where 66 of 220 workers of one data centre were taken
// away, a cell that had only those had no room for a quarter of its lasting tasks, while
// others had; dealt over all cells, each loses six in a hundred. Each workflow has a home,
// by its id.
package partitioner

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/cottonlanding/cottonlanding"
)

// Layout says which cells there are and which racks each of them has. The number of
// cells and the cell of a rack never change; racks are added.
type Layout struct {
	Cells int
	Racks map[RackKey]cottonlanding.CellNumber
}

// RackKey names a rack among those of all data centres.
type RackKey string

// errBadLayout reports a layout that can't be used.
var errBadLayout = errors.New("no layout")

// Decode reads a layout.
func Decode(data []byte) (Layout, error) {
	var out Layout
	if err := json.Unmarshal(data, &out); err != nil {
		return Layout{}, fmt.Errorf("%w: %w", errBadLayout, err)
	}
	if out.Cells < 1 {
		return Layout{}, fmt.Errorf("%w: %d cells", errBadLayout, out.Cells)
	}
	for rack, cell := range out.Racks {
		if cell < 0 || int(cell) >= out.Cells {
			return Layout{}, fmt.Errorf("%w: rack %s is in cell %d of %d", errBadLayout, rack, cell, out.Cells)
		}
	}
	return out, nil
}

// Encode is the inverse of Decode.
func (l Layout) Encode() []byte {
	data, err := json.Marshal(l)
	if err != nil {
		panic(fmt.Sprintf("encode layout: %v", err)) // the type has no field that can fail
	}
	return data
}

// Home returns the cell that knows of a workflow.
func (l Layout) Home(id cottonlanding.WorkflowID) cottonlanding.CellNumber {
	return cottonlanding.CellNumber(xxhash.Sum64String(string(id)) % uint64(l.Cells))
}

// Workers returns those of a cell.
func (l Layout) Workers(all []cottonlanding.WorkerInfo, cell cottonlanding.CellNumber) []cottonlanding.WorkerInfo {
	var out []cottonlanding.WorkerInfo
	for _, info := range all {
		if at, known := l.Racks[keyOf(info)]; known && at == cell {
			out = append(out, info)
		}
	}
	return out
}

// CellDataCentre returns the data centre of a cell's racks, and false if they are of several or
// there are none.
func (l Layout) CellDataCentre(cell cottonlanding.CellNumber) (cottonlanding.DataCentre, bool) {
	dataCentre, found := "", false
	for key, at := range l.Racks {
		if at != cell {
			continue
		}
		next, _, _ := strings.Cut(string(key), rackSeparator)
		if found && next != dataCentre {
			return "", false
		}
		dataCentre, found = next, true
	}
	return cottonlanding.DataCentre(dataCentre), found
}

// rackSeparator stands between the data centre and the rack in a key.
const rackSeparator = "/"

// keyOf returns the rack of a worker. Workers that name no rack share one in each data
// centre.
func keyOf(info cottonlanding.WorkerInfo) RackKey {
	return RackKey(string(info.DataCentre) + rackSeparator + string(info.Rack))
}

// rack is one rack with its workers.
type rack struct {
	key        RackKey
	dataCentre cottonlanding.DataCentre
	workers    int
}

// racksOf returns the racks of all workers in an order that repeats.
func racksOf(workers []cottonlanding.WorkerInfo) []rack {
	found := make(map[RackKey]*rack)
	for _, info := range workers {
		key := keyOf(info)
		if found[key] == nil {
			found[key] = &rack{key: key, dataCentre: info.DataCentre}
		}
		found[key].workers++
	}
	out := make([]rack, 0, len(found))
	for _, key := range slices.Sorted(maps.Keys(found)) {
		out = append(out, *found[key])
	}
	slices.SortStableFunc(out, func(a, b rack) int { return cmp.Compare(a.dataCentre, b.dataCentre) })
	return out
}

// Divide makes the first layout. A cell should have about perCell workers, and one at
// least.
func Divide(workers []cottonlanding.WorkerInfo, perCell int) Layout {
	racks := racksOf(workers)
	out := Layout{Cells: max(1, roundedQuotient(len(workers), max(perCell, 1))), Racks: make(map[RackKey]cottonlanding.CellNumber)}
	for at, r := range racks {
		out.Racks[r.key] = cottonlanding.CellNumber(at % out.Cells)
	}
	return out
}

func roundedQuotient(workers, perCell int) int { return (2*workers + perCell) / (2 * perCell) }

// Extend returns the layout with the racks of workers that it lacks, and whether there
// were any. A new rack goes to the smallest cell.
func (l Layout) Extend(workers []cottonlanding.WorkerInfo) (Layout, bool) {
	sizes := make([]int, l.Cells)
	var missing []rack
	for _, r := range racksOf(workers) {
		cell, known := l.Racks[r.key]
		if !known {
			missing = append(missing, r)
			continue
		}
		sizes[cell] += r.workers
	}
	if len(missing) == 0 {
		return l, false
	}
	out := Layout{Cells: l.Cells, Racks: maps.Clone(l.Racks)}
	if out.Racks == nil {
		out.Racks = make(map[RackKey]cottonlanding.CellNumber)
	}
	for _, r := range missing {
		cell := slices.Index(sizes, slices.Min(sizes))
		out.Racks[r.key] = cottonlanding.CellNumber(cell)
		sizes[cell] += r.workers
	}
	return out, true
}
