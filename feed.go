package cottonlanding

import "context"

// FeedRow is a row as a feed reports it.
type FeedRow struct {
	Key   string
	Value []byte
	// Version is the row's version. For a removed row it may be the version of the reading, by which
	// the row was gone.
	Version Version
	// Deleted says that the row was removed.
	Deleted bool
}

// FeedReading is the result of one read of a feed.
type FeedReading struct {
	Rows []FeedRow
	// Whole says that Rows has the whole table: any other row doesn't exist as of Version.
	Whole   bool
	Version Version
	// More says that more may be available at once.
	More bool
	// At is the instant of this host's clock as of which the table is completely known: when the call
	// was sent, or zero if more may be available.
	At Millis
}

// Feed reports what others write to one table.
type Feed interface {
	// Read returns the whole table if version is zero, else the changes after that version, for which
	// it waits up to the given time. It returns ErrHistoryGone if these are no longer available.
	Read(ctx context.Context, version Version, wait Millis) (FeedReading, error)
}
