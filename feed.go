package cottonlanding

import "context"

// FeedRow is a row as a feed tells of it.
type FeedRow struct {
	Key   string
	Value []byte
	// Version is the row's. Of one that was removed it may be the reading's: it was removed by
	// then.
	Version Version
	// Deleted says that the row was removed.
	Deleted bool
}

// FeedReading is what one call has told of a table.
type FeedReading struct {
	Rows []FeedRow
	// Whole says that a row that isn't among them doesn't exist, as of Version.
	Whole   bool
	Version Version
	// More says that there may be more to read at once.
	More bool
	// At is as of when the table is known completely, on this host's clock: when the call was
	// sent, or zero if there may be more to read.
	At Millis
}

// Feed tells what others write to one table.
type Feed interface {
	// Read reads the whole table if the version is zero, else what has changed after it, for
	// which it waits up to a span. It returns ErrHistoryGone if that is no longer known.
	Read(ctx context.Context, version Version, wait Millis) (FeedReading, error)
}
