// Package relayer lets one process of many read a table and tell the others what changed.
//
// Entries of the workers' list are rewritten every second or so to say that their writers
// live, and readers of the table's feed are sent each of those rewrites. Read by each owner
// of a cell, they grow with owners times workers. Here one process reads the feed, its
// source; the others ask the source, which tells them only of entries that say something
// new. Versions are the table's own, so that a process can go on from what one source told
// with another source, or with the feed itself when no source answers.
package relayer

import (
	"context"
	"log/slog"
	"sync"

	"github.com/cottonlanding/cottonlanding"
)

// Source is another process that reads the table.
type Source interface {
	// News returns what changed after a version, as of a fresh reading of the source, or all
	// that is known already if the version is zero. It returns ErrUnavailable if there is no
	// fresh reading soon.
	News(ctx context.Context, after cottonlanding.Version) (Response, error)
}

// Response is what a source tells.
type Response struct {
	News cottonlanding.FeedReading
	// Age is how long before the question arrived the source's reading was asked for; it is
	// negative for one that was asked for while the question waited.
	Age cottonlanding.Millis
}

// Timing bounds the calls of a relay.
type Timing struct {
	// RequestTimeout bounds one question, WholeTimeout one for the whole table.
	RequestTimeout cottonlanding.Millis
	WholeTimeout   cottonlanding.Millis
	// FeedTimeout bounds one reading of the feed.
	FeedTimeout cottonlanding.Millis
	// FreshFor is how old a reading may be that is told at once. Hold is how long a question
	// waits for the next one otherwise: longer than the time between two of them, and than
	// one takes.
	FreshFor     cottonlanding.Millis
	FreshTimeout cottonlanding.Millis
	// MaxAge is how old a source's reading may be. One that is cut off from the table still
	// answers.
	MaxAge cottonlanding.Millis
	// FallbackPeriod is for how long the feed is read after a source has failed.
	FallbackPeriod cottonlanding.Millis
	// Retention is how long news is remembered. Who asks for what came before gets the whole
	// table.
	Retention cottonlanding.Millis
}

// Dependencies are what a relay works with.
type Dependencies struct {
	// Feed is the table itself.
	Feed cottonlanding.Feed
	// Attributes returns what an entry says, to be compared by ==, or nil if it can't be read. An
	// entry is news if it says something else than before.
	Attributes func(entry []byte) any
	Clock      cottonlanding.Clock
	Log        *slog.Logger
}

// Relay is a feed that asks a source rather than the table, and a source for others. It
// implements cottonlanding.Feed.
type Relay struct {
	deps   Dependencies
	timing Timing

	// The fields below belong to the goroutine that reads.
	source      Source
	directUntil cottonlanding.Millis
	direct      bool

	mu sync.Mutex
	// choose returns the process to ask, or nil if this one reads for all.
	choose     func() Source
	tableCache *tableCache
	counts     Counts
	updated    chan struct{}
}

// Counts tells how a relay came to know the table.
type Counts struct {
	// Direct counts readings of the feed, Relayed those that a source told.
	Direct, Relayed int64
	// DirectRows and RelayedRows count the entries of these.
	DirectRows, RelayedRows int64
	// Answered counts the questions that were answered to others, AnsweredRows their entries.
	Answered, AnsweredRows int64
}

// New returns a relay that knows nothing yet and reads the feed.
func New(deps Dependencies, timing Timing) *Relay {
	return &Relay{
		deps:       deps,
		timing:     timing,
		choose:     func() Source { return nil },
		tableCache: newTableCache(deps.Attributes),
		updated:    make(chan struct{}),
	}
}

// ChooseBy makes the relay ask the process that choose returns, if any, from now on.
func (r *Relay) ChooseBy(choose func() Source) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.choose = choose
}

// Counts returns the use so far.
func (r *Relay) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts
}

// Read implements cottonlanding.Feed. One goroutine reads at a time.
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

// currentSource returns the source to ask, or nil while the feed is to be read.
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

// request asks a source for what changed after a version.
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
	// The question can't have arrived before it was sent, so that this is no later than the
	// source asked for its reading.
	reading.At = sent - response.Age
	if age := r.deps.Clock.Now() - reading.At; age > r.timing.MaxAge {
		return cottonlanding.FeedReading{}, &staleError{age}
	}
	if known := r.version(); reading.Whole && reading.Version < known {
		return cottonlanding.FeedReading{}, &outdatedError{reading.Version, known}
	}
	reading.Version = max(reading.Version, version) // a source that is behind takes nothing back
	r.recordDirect(false, nil)
	return r.apply(reading, func(c *Counts) { c.Relayed, c.RelayedRows = c.Relayed+1, c.RelayedRows+int64(len(reading.Rows)) }), nil
}

// version returns up to where the table is known here.
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

// recordDirect takes in whether the feed is read in place of a source.
func (r *Relay) recordDirect(direct bool, cause error) {
	if direct {
		r.directUntil = r.deps.Clock.Now() + r.timing.FallbackPeriod
	}
	if r.direct != direct {
		r.direct = direct
		r.deps.Log.Info("source of the list", "Asked", !direct, "Error", cause)
	}
}

// apply keeps a reading for those who ask this process, and returns it without the entries
// that say nothing new.
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

// News implements Source for other processes.
func (r *Relay) News(ctx context.Context, after cottonlanding.Version) (Response, error) {
	arrived := r.deps.Clock.Now()
	if after > 0 && !r.awaitFreshReading(ctx, arrived-r.timing.FreshFor) {
		return Response{}, errNoReading
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

// awaitFreshReading waits, but no longer than Hold, for the table to be known completely as of an
// instant, and reports whether it is. A long reading comes in parts.
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
