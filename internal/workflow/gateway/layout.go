package gateway

import (
	"context"

	"github.com/google/uuid"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/partitioner"
)

const (
	// layoutInterval is how often each host applies the newest layout if no update has arrived, and the owner of the
	// first cell extends it by new racks.
	layoutInterval = 300 * cottonlanding.Millis(1)
	// settleTime is how long the number of workers must stay unchanged before the first layout is made, since workers
	// that start together are listed over one to two seconds and the number of cells is final. maxSettleTime bounds
	// that wait.
	settleTime    = 600 * cottonlanding.Millis(1)
	maxSettleTime = 5 * cottonlanding.Second
	// ownersTimeout is how long a host waits until all cells have had an owner before it answers calls, reportsTimeout
	// how long for the owners' reports. Before that, workflows would be referred to cells without capacity, where
	// lasting ones stay.
	ownersTimeout  = 4 * cottonlanding.Second
	reportsTimeout = 2 * cottonlanding.Second
	// layoutTimeout bounds the commit of the layout.
	layoutTimeout = cottonlanding.Second
)

// layoutKey names the layout's row. It is a watched row, so that the feed delivers it to all hosts.
var layoutKey = layoutPartition.Key(cottonlanding.WatchedPrefix + "Layout")

// settling detects that the number of workers has become stable before there is a layout.
type settling struct {
	workers int
	// firstSeenAt is when the list of workers was first available, unchangedSince when their number last changed.
	firstSeenAt, unchangedSince cottonlanding.Millis
}

// settled reports whether the number of workers is stable, or the wait for that has reached maxSettleTime.
func (s *settling) settled(workers int, now cottonlanding.Millis) bool {
	if s.firstSeenAt == 0 {
		s.firstSeenAt = now
	}
	if workers != s.workers {
		s.workers, s.unchangedSince = workers, now
	}
	return workers > 0 && now-s.unchangedSince >= settleTime || now-s.firstSeenAt >= maxSettleTime
}

// followLayout applies the newest layout, and writes one if this host owns the first cell.
func (g *Gateway) followLayout(ctx context.Context) {
	row, known := g.watcher.Row(layoutKey)
	if !known {
		return
	}
	exists := row.Version > 0
	if exists {
		g.applyLayout(row)
	}
	if g.participant(firstCell).isOwner() {
		g.writeLayout(ctx, exists, g.deps.Clock.Now())
	}
}

// applyLayout puts a layout in force. If it can't be decoded or changes the number of cells, the current one stays.
func (g *Gateway) applyLayout(row cottonlanding.Row) {
	if row.Version == g.layoutVersion || row.Version == g.refusedVersion {
		return
	}
	layout, err := partitioner.Decode(row.Value)
	known := g.layout.Load()
	if err != nil || known != nil && known.Cells != layout.Cells {
		g.refusedVersion = row.Version
		g.deps.Log.Error("invalid layout ignored, the current one stays in force", "Version", row.Version, "Error", err)
		return
	}
	g.layoutVersion = row.Version
	g.addParticipants(layout.Cells)
	g.layoutKnownAt.CompareAndSwap(0, int64(g.deps.Clock.Now()))
	g.layout.Store(&layout)
	g.deps.Log.Info("layout", "Version", row.Version, "Cells", layout.Cells, "Racks", len(layout.Racks))
}

// writeLayout commits the first layout, or adds the racks that it lacks.
func (g *Gateway) writeLayout(ctx context.Context, exists bool, now cottonlanding.Millis) {
	workers, listed := g.deps.ListWorkers()
	known := g.layout.Load()
	if !listed || exists != (known != nil) {
		return // a layout that can't be decoded isn't replaced
	}
	var next partitioner.Layout
	if known == nil {
		if !g.settling.settled(len(workers), now) {
			return
		}
		next = partitioner.Divide(workers, g.settings.WorkersPerCell)
	} else {
		extended, changed := known.Extend(workers)
		if !changed {
			return
		}
		next = extended
	}
	ctx, cancel := context.WithTimeout(ctx, layoutTimeout.Duration())
	defer cancel()
	_, err := g.deps.Table.Commit(ctx, cottonlanding.Transaction{
		ID:     cottonlanding.TransactionID(uuid.NewString()),
		Writes: []cottonlanding.Write{{Key: layoutKey, Expect: g.layoutVersion, Value: next.Encode()}},
	})
	g.deps.Log.Info("layout written", "Cells", next.Cells, "Racks", len(next.Racks), "Workers", len(workers), "Error", err)
}

// Ready reports whether calls can be answered: the layout is known and, if there are several cells, each has had an
// owner that reported its capacity, or the waits for these have timed out. It stays true.
func (g *Gateway) Ready() bool {
	if g.ready.Load() {
		return true
	}
	if g.layout.Load() == nil {
		return false
	}
	waited := g.deps.Clock.Now() - cottonlanding.Millis(g.layoutKnownAt.Load())
	participants := *g.participants.Load()
	for _, p := range participants {
		if len(participants) > 1 && !p.isReady(waited) {
			return false
		}
	}
	g.ready.Store(true)
	g.updateWatches()
	g.deps.Log.Info("cells are known", "Cells", len(participants), "Waited", waited)
	return true
}

// isReady reports whether the cell has had an owner that reported its capacity, or whether the wait has timed out.
func (p *participant) isReady(waited cottonlanding.Millis) bool {
	view := p.holder.View()
	if view.Version == 0 {
		return waited >= ownersTimeout
	}
	_, reported := p.latestReport()
	return reported || waited >= reportsTimeout
}

// cellWorkers caches the workers of a cell for a list and a layout.
type cellWorkers struct {
	list   []cottonlanding.WorkerInfo
	layout *partitioner.Layout
	own    []cottonlanding.WorkerInfo
}

// listWorkers returns the cell's workers, and false until they are known. The slice stays the same until the list or
// the layout changes.
func (p *participant) listWorkers() ([]cottonlanding.WorkerInfo, bool) {
	list, known := p.gateway.deps.ListWorkers()
	layout := p.gateway.layout.Load()
	if !known || layout == nil {
		return nil, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.workers.layout != layout || !isSameSlice(p.workers.list, list) {
		p.workers = cellWorkers{list: list, layout: layout, own: layout.Workers(list, p.cell)}
	}
	return p.workers.own, true
}

// isSameSlice reports whether a and b are the same slice. Each new list is a new slice.
func isSameSlice(a, b []cottonlanding.WorkerInfo) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
