// Package partitioner divides the workers and the workflows of a deployment among cells, each of which
// is scheduled by one host.
//
// A host considers all workers of a cell for each task, and sends all the cell's orders, polls and
// commits over its own link. Neither its processors nor its link suffice for a thousand workers and
// thousands of starts a second.
//
// A cell has whole racks, and about as many of each data centre as any other cell, so that the loss of
// part of a data centre costs each cell a small part of its workers instead of one cell most of them.
// When 66 of 220 workers of one data centre are removed, a cell with only those 220 has no room for a
// quarter of its lasting tasks, while other cells have; divided among all cells, each loses six in a
// hundred.
//
// Each workflow has a home cell, which follows from its id.
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

// Layout says which cells there are and which racks belong to each of them. The number of cells and
// the cell of a rack never change; racks are added.
type Layout struct {
	Cells int
	Racks map[RackKey]cottonlanding.CellNumber
}

// RackKey identifies a rack among those of all data centres.
type RackKey string

// errBadLayout reports an invalid layout.
var errBadLayout = errors.New("invalid layout")

// Decode reads and checks a layout.
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

// Home returns the home cell of a workflow.
func (l Layout) Home(id cottonlanding.WorkflowID) cottonlanding.CellNumber {
	return cottonlanding.CellNumber(xxhash.Sum64String(string(id)) % uint64(l.Cells))
}

// Workers returns those of the workers that belong to a cell.
func (l Layout) Workers(all []cottonlanding.WorkerInfo, cell cottonlanding.CellNumber) []cottonlanding.WorkerInfo {
	var out []cottonlanding.WorkerInfo
	for _, info := range all {
		if at, known := l.Racks[keyOf(info)]; known && at == cell {
			out = append(out, info)
		}
	}
	return out
}

// CellDataCentre returns the data centre of a cell's racks, and false if they are in several or there
// are none.
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

// rackSeparator separates the data centre and the rack in a key.
const rackSeparator = "/"

// keyOf returns the key of a worker's rack. Workers that name no rack share one in each data centre.
func keyOf(info cottonlanding.WorkerInfo) RackKey {
	return RackKey(string(info.DataCentre) + rackSeparator + string(info.Rack))
}

// rack is one rack with the number of its workers.
type rack struct {
	key        RackKey
	dataCentre cottonlanding.DataCentre
	workers    int
}

// racksOf returns the racks of all workers in a deterministic order.
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

// Divide returns the first layout. It has at least one cell, and about perCell workers in each.
func Divide(workers []cottonlanding.WorkerInfo, perCell int) Layout {
	racks := racksOf(workers)
	out := Layout{Cells: max(1, roundedQuotient(len(workers), max(perCell, 1))), Racks: make(map[RackKey]cottonlanding.CellNumber)}
	for at, r := range racks {
		out.Racks[r.key] = cottonlanding.CellNumber(at % out.Cells)
	}
	return out
}

func roundedQuotient(workers, perCell int) int { return (2*workers + perCell) / (2 * perCell) }

// Extend returns the layout with those racks of the workers added that it lacks, and whether there
// were any. A new rack goes to the cell with the fewest workers.
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
