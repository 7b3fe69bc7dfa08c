// Package relayer lets one host read a table and relay its changes to the others.
//
// The table is the list of workers, and an entry is a row of it. Workers rewrite their entries every second or so as a
// sign of life, and the table's feed delivers each of these rewrites to each reader. If every owner of a cell read the
// feed, the rows read would grow with owners times workers. Instead one host, the source, reads the feed. The others
// send requests to the source, which returns only entries whose attributes have changed. Versions are those of the
// table, so that a host can continue from a source's version with another source, or with the feed itself if no source
// answers.
package relayer

import (
	"context"
	"log/slog"
	"sync"

	"github.com/cottonlanding/cottonlanding"
)

// Source is a host that reads the table for others.
type Source interface {
	// News returns the changes after a version, as of a fresh reading of the source, or the whole table if they are no
	// longer all known. With version zero it returns the whole table as already known. It returns ErrUnavailable if the
	// source has never read the whole table or, with a version above zero, has no fresh reading within
	// Timing.FreshTimeout.
	News(ctx context.Context, after cottonlanding.Version) (Response, error)
}

// Response is the response of a source.
type Response struct {
	// News holds the changes, or the whole table if Whole is set.
	News cottonlanding.FeedReading
	// Age is the time between the start of the source's reading and the arrival of the request. It is negative if the
	// reading was started while the request waited.
	Age cottonlanding.Millis
}

// Timing holds the timings of a relay.
type Timing struct {
	// RequestTimeout is the timeout of a request to a source, WholeTimeout that of a request for the whole table.
	RequestTimeout cottonlanding.Millis
	WholeTimeout   cottonlanding.Millis
	// FeedTimeout is the timeout of one reading of the feed, in addition to the wait.
	FeedTimeout cottonlanding.Millis
	// FreshFor is the maximum age of a reading that is returned at once. Otherwise a request waits up to FreshTimeout
	// for the next reading. FreshTimeout must exceed both the interval between two readings and the duration of one.
	FreshFor     cottonlanding.Millis
	FreshTimeout cottonlanding.Millis
	// MaxAge is the maximum age of a source's reading that is accepted: a source that is cut off from the table still
	// answers.
	MaxAge cottonlanding.Millis
	// FallbackPeriod is how long the feed is read after a source has failed.
	FallbackPeriod cottonlanding.Millis
	// Retention is how long changes are kept. A request for older changes gets the whole table.
	Retention cottonlanding.Millis
}

// Dependencies are the dependencies of a relay.
type Dependencies struct {
	// Feed is the table itself.
	Feed cottonlanding.Feed
	// Attributes returns the comparable content of an entry, or nil if it can't be decoded. An entry has changed if its
	// attributes differ (==) or are nil.
	Attributes func(entry []byte) any
	// MaxEntry is the length in bytes from which on an entry can't be decoded. Longer ones are cut to one byte more, so
	// that what other writers leave costs little; zero is unbounded.
	MaxEntry int
	Clock    cottonlanding.Clock
	Log      *slog.Logger
}

// Relay is a feed that reads from a source instead of the table, and is a source for others. It implements
// cottonlanding.Feed.
type Relay struct {
	deps   Dependencies
	timing Timing

	// The fields up to mu belong to the goroutine that calls Read.
	source      Source
	directUntil cottonlanding.Millis
	direct      bool

	mu sync.Mutex
	// choose returns the source to use, or nil if this host reads the feed.
	choose     func() Source
	tableCache *tableCache
	counts     Counts
	updated    chan struct{}
}

// Counts counts the readings and responses of a relay.
type Counts struct {
	// Direct counts readings of the feed, Relayed those received from a source.
	Direct, Relayed int64
	// DirectRows and RelayedRows count the entries of these readings.
	DirectRows, RelayedRows int64
	// Answered counts the requests of others that were answered, AnsweredRows the entries returned.
	Answered, AnsweredRows int64
}

// New returns a relay that reads the feed until ChooseBy sets a source.
func New(deps Dependencies, timing Timing) *Relay {
	return &Relay{
		deps:       deps,
		timing:     timing,
		choose:     func() Source { return nil },
		tableCache: newTableCache(deps.Attributes, deps.MaxEntry),
		updated:    make(chan struct{}),
	}
}

// ChooseBy makes the relay read from the source that choose returns, or from the feed if that is nil.
func (r *Relay) ChooseBy(choose func() Source) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.choose = choose
}

// Counts returns the counts since the relay was created.
func (r *Relay) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts
}

// Read implements cottonlanding.Feed. It must be called from one goroutine at a time.
func (r *Relay) Read(ctx context.Context, version cottonlanding.Version, wait cottonlanding.Millis) (cottonlanding.FeedReading, error) {
	if source := r.currentSource(); source != nil {
		reading, err := r.request(ctx, source, version)
		if err == nil {
			return reading, nil
		}
		r.recordDirect(true, err)
	}
	return r.readFeed(ctx, version, wait)
}

// currentSource returns the source to use, or nil if the feed is to be read.
func (r *Relay) currentSource() Source {
	r.mu.Lock()
	choose := r.choose
	r.mu.Unlock()
	source := choose()
	if source != r.source {
		r.source, r.directUntil = source, 0
	}
	if source == nil || r.deps.Clock.Now() < r.directUntil {
		return nil
	}
	return source
}

// request requests the changes after a version from a source.
func (r *Relay) request(ctx context.Context, source Source, version cottonlanding.Version) (cottonlanding.FeedReading, error) {
	timeout := r.timing.RequestTimeout
	if version == 0 {
		timeout = r.timing.WholeTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	sent := r.deps.Clock.Now()
	response, err := source.News(ctx, version)
	if err != nil {
		return cottonlanding.FeedReading{}, err
	}
	reading := response.News
	// The request can't have arrived before it was sent, so that this is no later than the time at which the source
	// started its reading.
	reading.At = sent - response.Age
	if age := r.deps.Clock.Now() - reading.At; age > r.timing.MaxAge {
		return cottonlanding.FeedReading{}, &staleError{age}
	}
	if known := r.version(); reading.Whole && reading.Version < known {
		return cottonlanding.FeedReading{}, &outdatedError{reading.Version, known}
	}
	reading.Version = max(reading.Version, version) // an outdated source doesn't set the version back
	r.recordDirect(false, nil)
	return r.apply(reading, func(c *Counts) { c.Relayed, c.RelayedRows = c.Relayed+1, c.RelayedRows+int64(len(reading.Rows)) }), nil
}

// version returns the version of the table known to this host.
func (r *Relay) version() cottonlanding.Version {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tableCache.version
}

func (r *Relay) readFeed(ctx context.Context, version cottonlanding.Version, wait cottonlanding.Millis) (cottonlanding.FeedReading, error) {
	ctx, cancel := context.WithTimeout(ctx, (r.timing.FeedTimeout + wait).Duration())
	defer cancel()
	reading, err := r.deps.Feed.Read(ctx, version, wait)
	if err != nil {
		return cottonlanding.FeedReading{}, err
	}
	return r.apply(reading, func(c *Counts) { c.Direct, c.DirectRows = c.Direct+1, c.DirectRows+int64(len(reading.Rows)) }), nil
}

// recordDirect records whether the feed is read instead of a source, and logs a change.
func (r *Relay) recordDirect(direct bool, cause error) {
	if direct {
		r.directUntil = r.deps.Clock.Now() + r.timing.FallbackPeriod
	}
	if r.direct != direct {
		r.direct = direct
		r.deps.Log.Info("source of the list", "Asked", !direct, "Error", cause)
	}
}

// apply caches a reading for requests of other hosts. It returns the reading without unchanged entries, unless it
// is a whole one.
func (r *Relay) apply(reading cottonlanding.FeedReading, count func(*Counts)) cottonlanding.FeedReading {
	r.mu.Lock()
	defer r.mu.Unlock()
	count(&r.counts)
	now := r.deps.Clock.Now()
	reading.Rows = r.tableCache.apply(reading, now)
	r.tableCache.prune(now - r.timing.Retention)
	close(r.updated)
	r.updated = make(chan struct{})
	return reading
}

// News implements Source for other hosts.
func (r *Relay) News(ctx context.Context, after cottonlanding.Version) (Response, error) {
	arrived := r.deps.Clock.Now()
	if after > 0 && !r.awaitFreshReading(ctx, arrived-r.timing.FreshFor) {
		return Response{}, errNotFresh
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	readingAfter, err := r.tableCache.readingAfter(after)
	if err != nil {
		return Response{}, err
	}
	r.counts.Answered++
	r.counts.AnsweredRows += int64(len(readingAfter.Rows))
	return Response{News: readingAfter, Age: arrived - r.tableCache.completeAt}, nil
}

// awaitFreshReading waits up to FreshTimeout until the table is completely known as of an instant, and reports whether
// it is. A long reading consists of several parts, of which only the last completes it.
func (r *Relay) awaitFreshReading(ctx context.Context, asOf cottonlanding.Millis) bool {
	ctx, cancel := context.WithTimeout(ctx, r.timing.FreshTimeout.Duration())
	defer cancel()
	for {
		r.mu.Lock()
		completeAt, updated := r.tableCache.completeAt, r.updated
		r.mu.Unlock()
		if completeAt >= asOf {
			return true
		}
		select {
		case <-updated:
		case <-ctx.Done():
			return false
		}
	}
}
