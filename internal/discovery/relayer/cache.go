package relayer

import (
	"bytes"
	"fmt"
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// Errors of a source that has no reading to return.
var (
	errNeverRead = fmt.Errorf("the list isn't read yet: %w", cottonlanding.ErrUnavailable)
	errNotFresh  = fmt.Errorf("the list wasn't read again in time: %w", cottonlanding.ErrUnavailable)
)

// staleError reports that a source's reading is too old.
type staleError struct{ age cottonlanding.Millis }

// Error implements error.
func (e *staleError) Error() string {
	return fmt.Sprintf("the source's reading is %s old", e.age)
}

// outdatedError reports that a source knows an older version of the table than this host.
type outdatedError struct{ received, known cottonlanding.Version }

// Error implements error.
func (e *outdatedError) Error() string {
	return fmt.Sprintf("the source is at version %d, version %d was known before", e.received, e.known)
}

// tableCache holds the last known state of a table and its recent changes.
type tableCache struct {
	attributes func(entry []byte) any
	maxEntry   int
	rows       map[string]cachedEntry
	// changes holds the changed and the removed entries in the order in which they were received. Entries that were
	// rewritten with the same attributes are left out.
	changes []recordedChange
	// changesSince is the version after which changes is complete.
	changesSince cottonlanding.Version
	version      cottonlanding.Version
	// whole reports whether a whole reading was received.
	whole bool
	// completeAt is the time as of which the table is completely known. It is zero before the first reading with At,
	// which a reading of changes lacks while more are available.
	completeAt cottonlanding.Millis
}

// cachedEntry is an entry as of its last change of attributes; row is its row of the table.
type cachedEntry struct {
	row        cottonlanding.FeedRow
	attributes any
}

// recordedChange is a changed or removed entry and the time at which it was received.
type recordedChange struct {
	row        cottonlanding.FeedRow
	recordedAt cottonlanding.Millis
}

func newTableCache(attributes func(entry []byte) any, maxEntry int) *tableCache {
	return &tableCache{attributes: attributes, maxEntry: maxEntry, rows: make(map[string]cachedEntry)}
}

// apply merges a reading, whose entries are in the order of their changes. It returns the entries that have changed, or
// all entries of a whole reading.
func (c *tableCache) apply(reading cottonlanding.FeedReading, now cottonlanding.Millis) []cottonlanding.FeedRow {
	if reading.Whole {
		c.dropMissing(reading, now)
	}
	var changed []cottonlanding.FeedRow
	for at, row := range reading.Rows {
		row.Value = c.cut(row.Value)
		reading.Rows[at] = row
		if c.applyRow(row) {
			c.changes = append(c.changes, recordedChange{row, now})
			changed = append(changed, row)
		}
	}
	if reading.Whole {
		changed = reading.Rows
	}
	// The first whole reading isn't recorded, as the versions before it are unknown. Later ones are recorded as changes,
	// so that requests after older versions still get only changes.
	if reading.Whole && !c.whole {
		c.whole, c.changesSince, c.changes = true, reading.Version, nil
	}
	c.version = max(c.version, reading.Version)
	c.completeAt = max(c.completeAt, reading.At)
	return changed
}

// cut returns the part of an entry that is kept.
func (c *tableCache) cut(entry []byte) []byte {
	if c.maxEntry == 0 || len(entry) <= c.maxEntry {
		return entry
	}
	return slices.Clone(entry[:c.maxEntry+1])
}

// applyRow merges an entry and reports whether it has changed.
func (c *tableCache) applyRow(row cottonlanding.FeedRow) bool {
	if row.Deleted {
		delete(c.rows, row.Key)
		return true
	}
	attributes := c.attributes(row.Value)
	if before, found := c.rows[row.Key]; found && before.attributes == attributes && (attributes != nil || bytes.Equal(before.row.Value, row.Value)) {
		return false
	}
	c.rows[row.Key] = cachedEntry{row, attributes}
	return true
}

// dropMissing records the removal of the entries that a whole reading lacks.
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

// prune drops the changes recorded before an instant.
func (c *tableCache) prune(before cottonlanding.Millis) {
	firstKept := slices.IndexFunc(c.changes, func(change recordedChange) bool { return change.recordedAt >= before })
	if firstKept < 0 {
		firstKept = len(c.changes)
	}
	for _, dropped := range c.changes[:firstKept] {
		c.changesSince = max(c.changesSince, dropped.row.Version)
	}
	c.changes = slices.Delete(c.changes, 0, firstKept)
}

// readingAfter returns the changes after a version, or the whole table if they are no longer all known. It returns
// errNeverRead before the table was read completely.
func (c *tableCache) readingAfter(after cottonlanding.Version) (cottonlanding.FeedReading, error) {
	if !c.whole || c.completeAt == 0 {
		return cottonlanding.FeedReading{}, errNeverRead
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
