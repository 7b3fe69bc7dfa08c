package holder

import (
	"context"
	"sync"

	"github.com/cottonlanding/cottonlanding"
)

// rowsPerCell is how many rows a cell has at most: the owner, its beat, a request.
const rowsPerCell = 3

// mostCells bounds the cells whose rows are read at once: the table returns 500 rows.
const mostCells = 160

// Reader reads the rows that tell of the owners of all cells. The holders of one
// process share what it reads, so that following many cells costs no more calls of
// the table than following one.
type Reader struct {
	table     cottonlanding.Table
	clock     cottonlanding.Clock
	partition cottonlanding.Partition

	mu   sync.Mutex
	last reading
	// tookAt is when a holder of this process last took a cell.
	tookAt cottonlanding.Millis
}

// reading is what one call of the table returned.
type reading struct {
	rows []cottonlanding.Row
	err  error
	// sent is when the call was made, took how long it lasted.
	sent, took cottonlanding.Millis
}

// NewReader returns a reader of a partition that holds nothing but holders' rows.
func NewReader(table cottonlanding.Table, clock cottonlanding.Clock, partition cottonlanding.Partition) *Reader {
	return &Reader{table: table, clock: clock, partition: partition}
}

// read returns what the table held at some instant after since. A reading may be as
// old as its caller bears: what a holder does for it is checked again by the table.
func (r *Reader) read(ctx context.Context, since, timeout cottonlanding.Millis) reading {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.last.sent > since {
		return r.last
	}
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	next := reading{sent: r.clock.Now()}
	next.rows, next.err = r.table.Scan(ctx, r.partition.Key(rowPrefix), "", rowsPerCell*mostCells)
	next.took = r.clock.Now() - next.sent
	r.last = next
	return next
}

// mayTake reports whether a holder of this process may take a cell now: one at a time, so
// that each knows of the others' and other processes have their turn.
func (r *Reader) mayTake(now, gap cottonlanding.Millis) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tookAt > 0 && now-r.tookAt < gap {
		return false
	}
	r.tookAt = now
	return true
}
