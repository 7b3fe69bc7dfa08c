package holder

import (
	"context"

	"github.com/cottonlanding/cottonlanding"
)

// maxRows is the table's limit on the rows of one scan; the holders of a partition have fewer rows.
const maxRows = 500

// Reader reads the beats of all cells of a partition. The holders of one process share the result,
// so that following many cells takes no more calls of the table than following one.
type Reader struct {
	table     cottonlanding.Table
	clock     cottonlanding.Clock
	watcher   *Watcher
	partition cottonlanding.Partition

	// semaphore admits one holder at a time; the others wait for its result.
	semaphore chan struct{}
	last      reading
}

// reading is the result of one read.
type reading struct {
	rows []cottonlanding.Row
	err  error
	// sent is when the read began, took its duration.
	sent, took cottonlanding.Millis
}

// NewReader returns a Reader of a partition that contains only rows of holders.
func NewReader(table cottonlanding.Table, clock cottonlanding.Clock, watcher *Watcher, partition cottonlanding.Partition) *Reader {
	return &Reader{table: table, clock: clock, watcher: watcher, partition: partition, semaphore: make(chan struct{}, 1)}
}

// read returns the beats as of some instant after since. A shared result is safe because the table
// checks the versions of all that a holder writes. With owners set it also reads the owner and
// request rows and passes them to the watcher, whose feed may be dead.
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
