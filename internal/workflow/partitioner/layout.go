// Package partitioner divides the workers and the workflows of a deployment among
// cells, each of which one host decides for.
//
// Decisions for one cell look at all its workers for each task, and all its orders,
// looks and commits go over one host's link: with a thousand workers and thousands of
// starts a second both are more than a host has. A cell has the workers of whole racks,
// of one data centre where that has enough of them, so that a data centre that is cut
// off holds up its own cells and no others. Each workflow has a home, by its id.
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

// errNoLayout reports a layout that can't be used.
var errNoLayout = errors.New("no layout")

// Decode reads a layout.
func Decode(data []byte) (Layout, error) {
	var out Layout
	if err := json.Unmarshal(data, &out); err != nil {
		return Layout{}, fmt.Errorf("%w: %w", errNoLayout, err)
	}
	if out.Cells < 1 {
		return Layout{}, fmt.Errorf("%w: %d cells", errNoLayout, out.Cells)
	}
	for rack, cell := range out.Racks {
		if cell < 0 || int(cell) >= out.Cells {
			return Layout{}, fmt.Errorf("%w: rack %s is in cell %d of %d", errNoLayout, rack, cell, out.Cells)
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

// Place returns the data centre of a cell's racks, and false if they are of several or
// there are none.
func (l Layout) Place(cell cottonlanding.CellNumber) (cottonlanding.DataCentre, bool) {
	place, found := "", false
	for key, at := range l.Racks {
		if at != cell {
			continue
		}
		next, _, _ := strings.Cut(string(key), rackSeparator)
		if found && next != place {
			return "", false
		}
		place, found = next, true
	}
	return cottonlanding.DataCentre(place), found
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
	perCell = max(perCell, 1)
	racks := racksOf(workers)
	out := Layout{Racks: make(map[RackKey]cottonlanding.CellNumber)}
	for _, group := range groupsOf(racks, perCell) {
		out.split(group, max(1, rounded(sizeOf(group), perCell)))
	}
	out.Cells = max(out.Cells, 1)
	return out
}

// groupsOf returns the racks of each data centre if each has enough workers for a cell
// of its own, or all together.
func groupsOf(racks []rack, perCell int) [][]rack {
	var out [][]rack
	for from := 0; from < len(racks); {
		to := from
		for to < len(racks) && racks[to].dataCentre == racks[from].dataCentre {
			to++
		}
		if rounded(sizeOf(racks[from:to]), perCell) == 0 {
			return [][]rack{racks}
		}
		out = append(out, racks[from:to])
		from = to
	}
	return out
}

func rounded(workers, perCell int) int { return (2*workers + perCell) / (2 * perCell) }

func sizeOf(racks []rack) int {
	sum := 0
	for _, r := range racks {
		sum += r.workers
	}
	return sum
}

// split adds as many cells for the racks, of about as many workers each.
func (l *Layout) split(racks []rack, cells int) {
	total, before := max(sizeOf(racks), 1), 0
	for _, r := range racks {
		middle := before + r.workers/2
		l.Racks[r.key] = cottonlanding.CellNumber(l.Cells + middle*cells/total)
		before += r.workers
	}
	l.Cells += cells
}

// Extend returns the layout with the racks of workers that it lacks, and whether there
// were any. A new rack goes to the smallest cell of its data centre.
func (l Layout) Extend(workers []cottonlanding.WorkerInfo) (Layout, bool) {
	sizes := make([]int, l.Cells)
	local := make(map[cottonlanding.DataCentre]map[cottonlanding.CellNumber]bool)
	var missing []rack
	for _, r := range racksOf(workers) {
		cell, known := l.Racks[r.key]
		if !known {
			missing = append(missing, r)
			continue
		}
		sizes[cell] += r.workers
		if local[r.dataCentre] == nil {
			local[r.dataCentre] = make(map[cottonlanding.CellNumber]bool)
		}
		local[r.dataCentre][cell] = true
	}
	if len(missing) == 0 {
		return l, false
	}
	out := Layout{Cells: l.Cells, Racks: maps.Clone(l.Racks)}
	if out.Racks == nil {
		out.Racks = make(map[RackKey]cottonlanding.CellNumber)
	}
	for _, r := range missing {
		cell := smallest(sizes, local[r.dataCentre])
		out.Racks[r.key] = cell
		sizes[cell] += r.workers
	}
	return out, true
}

// smallest returns the cell with the fewest workers among some, or among all if those
// are none.
func smallest(sizes []int, among map[cottonlanding.CellNumber]bool) cottonlanding.CellNumber {
	best := cottonlanding.CellNumber(-1)
	for at := range sizes {
		cell := cottonlanding.CellNumber(at)
		if len(among) > 0 && !among[cell] {
			continue
		}
		if best < 0 || sizes[cell] < sizes[best] {
			best = cell
		}
	}
	return best
}
