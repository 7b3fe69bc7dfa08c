package relayer

import (
	"fmt"
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// Reports of a source that can't answer.
var (
	errNotRead   = fmt.Errorf("the list isn't read yet: %w", cottonlanding.ErrUnavailable)
	errNoReading = fmt.Errorf("the list wasn't read again in time: %w", cottonlanding.ErrUnavailable)
)

// staleError reports a source whose reading is too old.
type staleError struct{ age cottonlanding.Millis }

// Error implements error.
func (e *staleError) Error() string {
	return fmt.Sprintf("the source's reading is %s old", e.age)
}

// outdatedError reports a source that knows less of the table than was known here before.
type outdatedError struct{ received, known cottonlanding.Version }

// Error implements error.
func (e *outdatedError) Error() string {
	return fmt.Sprintf("the source is at version %d, version %d was known before", e.received, e.known)
}

// tableCache is a table as it was read last, and what its entries said that was new of late.
type tableCache struct {
	attributes func(entry []byte) any
	rows       map[string]cachedEntry
	// changes holds the entries that said something new and those that were removed, in the
	// order in which this came to be known.
	changes []recordedChange
	// changesSince is the version after which recent holds all changes.
	changesSince cottonlanding.Version
	version      cottonlanding.Version
	// whole says that the table was read whole.
	whole bool
	// completeAt is as of when the table is known completely.
	completeAt cottonlanding.Millis
}

// cachedEntry is an entry as of when it last said something new, and what that was.
type cachedEntry struct {
	row        cottonlanding.FeedRow
	attributes any
}

// recordedChange is an entry, and when it came to be known here.
type recordedChange struct {
	row        cottonlanding.FeedRow
	recordedAt cottonlanding.Millis
}

func newTableCache(attributes func(entry []byte) any) *tableCache {
	return &tableCache{attributes: attributes, rows: make(map[string]cachedEntry)}
}

// apply merges a reading, whose entries are in the order of their changes, and returns those
// that say something new; of a whole reading that is all of them.
func (c *tableCache) apply(reading cottonlanding.FeedReading, now cottonlanding.Millis) []cottonlanding.FeedRow {
	if reading.Whole {
		c.dropMissing(reading, now)
	}
	var changed []cottonlanding.FeedRow
	for _, row := range reading.Rows {
		if c.applyRow(row) {
			c.changes = append(c.changes, recordedChange{row, now})
			changed = append(changed, row)
		}
	}
	if reading.Whole {
		changed = reading.Rows
	}
	if reading.Whole && !c.whole {
		c.whole, c.changesSince, c.changes = true, reading.Version, nil
	}
	c.version = max(c.version, reading.Version)
	c.completeAt = max(c.completeAt, reading.At)
	return changed
}

// applyRow takes in an entry and reports whether it says something new.
func (c *tableCache) applyRow(row cottonlanding.FeedRow) bool {
	if row.Deleted {
		delete(c.rows, row.Key)
		return true
	}
	attributes := c.attributes(row.Value)
	if before, found := c.rows[row.Key]; found && attributes != nil && before.attributes == attributes {
		return false
	}
	c.rows[row.Key] = cachedEntry{row, attributes}
	return true
}

// dropMissing removes the entries that a whole reading doesn't hold.
func (c *tableCache) dropMissing(reading cottonlanding.FeedReading, now cottonlanding.Millis) {
	present := make(map[string]bool, len(reading.Rows))
	for _, row := range reading.Rows {
		present[row.Key] = true
	}
	for key := range c.rows {
		if present[key] {
			continue
		}
		delete(c.rows, key)
		c.changes = append(c.changes, recordedChange{cottonlanding.FeedRow{Key: key, Version: reading.Version, Deleted: true}, now})
	}
}

// prune drops the news from before an instant.
func (c *tableCache) prune(before cottonlanding.Millis) {
	firstKept := slices.IndexFunc(c.changes, func(n recordedChange) bool { return n.recordedAt >= before })
	if firstKept < 0 {
		firstKept = len(c.changes)
	}
	for _, dropped := range c.changes[:firstKept] {
		c.changesSince = max(c.changesSince, dropped.row.Version)
	}
	c.changes = slices.Delete(c.changes, 0, firstKept)
}

// readingAfter returns what changed after a version, or the whole table if that isn't known.
func (c *tableCache) readingAfter(after cottonlanding.Version) (cottonlanding.FeedReading, error) {
	if !c.whole || c.completeAt == 0 {
		return cottonlanding.FeedReading{}, errNotRead
	}
	out := cottonlanding.FeedReading{Version: c.version, Whole: after < c.changesSince}
	if out.Whole {
		for _, one := range c.rows {
			out.Rows = append(out.Rows, one.row)
		}
		return out, nil
	}
	for _, one := range c.changes {
		if one.row.Version > after {
			out.Rows = append(out.Rows, one.row)
		}
	}
	return out, nil
}
