package holder

import (
	"context"

	"github.com/cottonlanding/cottonlanding"
)

// maxRows is the most rows that the table returns at once; a partition has fewer holders'
// rows.
const maxRows = 500

// Reader reads the beats of the owners of a partition's cells. The holders of one process
// share what it reads, so that looking at many cells costs no more calls of the table than
// looking at one.
type Reader struct {
	table     cottonlanding.Table
	clock     cottonlanding.Clock
	watcher   *Watcher
	partition cottonlanding.Partition

	// semaphore holds the holder that reads; the others wait for what it reads.
	semaphore chan struct{}
	last      reading
}

// reading is what one call of the table returned.
type reading struct {
	rows []cottonlanding.Row
	err  error
	// sent is when the call was made, took how long it lasted.
	sent, took cottonlanding.Millis
}

// NewReader returns a reader of a partition that holds nothing but holders' rows.
func NewReader(table cottonlanding.Table, clock cottonlanding.Clock, watcher *Watcher, partition cottonlanding.Partition) *Reader {
	return &Reader{table: table, clock: clock, watcher: watcher, partition: partition, semaphore: make(chan struct{}, 1)}
}

// read returns the beats that the table held at some instant after since. A reading may be as
// old as its caller bears: what a holder does for it is checked again by the table. With
// owners, the roll is told who they are by the table as well: its feed may have gone silent.
func (r *Reader) read(ctx context.Context, since, timeout cottonlanding.Millis, owners bool) reading {
	select {
	case r.semaphore <- struct{}{}:
	case <-ctx.Done():
		return reading{err: ctx.Err()}
	}
	defer func() { <-r.semaphore }()
	if r.last.sent > since {
		return r.last
	}
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	next := reading{sent: r.clock.Now()}
	next.rows, next.err = r.table.Scan(ctx, r.partition.Key(rowPrefix), "", maxRows)
	if owners && next.err == nil {
		next.err = r.readOwners(ctx)
	}
	next.took = r.clock.Now() - next.sent
	r.last = next
	return next
}

func (r *Reader) readOwners(ctx context.Context) error {
	rows, err := r.table.Scan(ctx, r.partition.Key(cottonlanding.WatchedPrefix+rowPrefix), "", maxRows)
	for _, row := range rows {
		r.watcher.UpdateRow(row)
	}
	return err
}
