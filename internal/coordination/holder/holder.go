// Package holder lets one of many processes own a cell, and tells all of them which
// one it is. A process has a holder for each cell.
//
// Two rows of a partition that some cells share say it. The owner row changes with
// each change of owner; its epoch fences all that the owner does. The table tells all
// processes of its changes (Roll). The beat row is rewritten by a living owner; others take
// over once it has stood still for the time to live. The owner counts that time from before
// it sent a beat, so that it never believes in itself for longer than any other does.
//
// Where there is one cell, all processes look at its beat. Where there are many, owners look
// at each other's, and the other processes once in a while, so that what is looked at doesn't
// grow with processes times cells. Who sees that an owner is gone says so in the owner row,
// of which the table tells all; the cell goes to who has most room for it.
package holder

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/duty/repeater"
	"github.com/cottonlanding/cottonlanding/internal/log/writer"
)

const (
	rowPrefix  = "Holder/"
	ownerRow   = "Owner"
	beatRow    = "Beat"
	requestRow = "Request"
	// maxGapPolls bounds the time that counts between two reads, in polls: a reader
	// that was paused must not take its own pause for the owner's.
	maxGapPolls = 3
	// earlyReadDivisor is the part of a poll by which a look may come earlier than it is due,
	// since steps aren't on time to the millisecond.
	earlyReadDivisor = 2
	// restPollsPerCell is how many rest polls there are for each cell between two looks of a
	// process that owns none: a look takes two readings of all cells, so that one with many
	// cells reads as much as one with one cell.
	restPollsPerCell = 2
	// driftMarginDivisor lengthens the time to live by 1/10 against clock drift.
	driftMarginDivisor = 10
	// releaseRetryInterval is the pause before a release that failed is tried again.
	releaseRetryInterval = 50 * cottonlanding.Millis(1)
)

// Dependencies are what a holder works with.
type Dependencies struct {
	Table cottonlanding.Table
	// Watcher tells who owns the cells, Reader reads the beats of some.
	Watcher *Watcher
	Reader  *Reader
	Clock   cottonlanding.Clock
	Log     *slog.Logger
	// Changed is called from one goroutine whenever the owner changes.
	Changed func(View)
	// CellRequested is called from the same when a member with more room for the cell asks this
	// owner for it, which should then Yield.
	CellRequested func(Member)
	// Owned counts the cells that this process owns, OwnedBy those of any, as far as is
	// known here, Cells all that there are.
	Owned   func() int
	OwnedBy func(cottonlanding.SessionID) int
	Cells   func() int
	// CellsKnown reports whether this process has heard of all cells what it waits for before
	// it takes calls.
	CellsKnown func() bool
	// Remote reports whether the cell's workers are of another data centre than this member.
	Remote func() bool
	// Report returns what an owner tells of its cell with each beat.
	Report func() []byte
}

// Holder is one member's part in one cell.
type Holder struct {
	deps   Dependencies
	clock  cottonlanding.Clock
	cell   cottonlanding.CellNumber
	self   Member
	timing Timing
	log    *slog.Logger

	mu         sync.Mutex
	view       View
	validUntil cottonlanding.Millis
	leaving    bool
	// lastCallTime is how long the last call of the table took that says how slow it is.
	lastCallTime cottonlanding.Millis
	// connected says that the last call succeeded, calledAt is when that was known.
	connected  bool
	lastCallAt cottonlanding.Millis
	// endedVersion is the version of the owner row whose owner's process was seen to have ended, at endedAt.
	endedVersion cottonlanding.Version
	endedAt      cottonlanding.Millis

	// The fields below belong to the duty's goroutine.
	beat cottonlanding.Version
	// beatTTL is the time to live that the last beat row seen asks for.
	beatTTL   cottonlanding.Millis
	beatSince cottonlanding.Millis
	// ownerAliveAt is when the owner was last known to be alive: its beat moved between two
	// readings, or it has just become the owner.
	ownerAliveAt cottonlanding.Millis
	// forwardedFor is the version of the owner row for which a request was passed on, undecodable
	// that of one that can't be read.
	forwardedFor, undecodable cottonlanding.Version
	// ownerRowSince is when the present owner row was first seen.
	ownerRowSince cottonlanding.Millis
	// lastReadSentAt is when the last reading that this holder has seen was asked for, lastReadAt
	// when it came.
	lastReadSentAt, lastReadAt cottonlanding.Millis
	// takeOverTimer runs the duty when this member is due to take a cell without an owner.
	takeOverTimer *time.Timer
	// freshReadFrom is when a reading was last asked for out of turn.
	freshReadFrom atomic.Int64

	duty *repeater.Repeater
}

// New starts to follow who owns a cell, and to own it when nobody else does.
func New(deps Dependencies, cell cottonlanding.CellNumber, self Member, timing Timing) *Holder {
	h := &Holder{
		deps:      deps,
		clock:     deps.Clock,
		cell:      cell,
		self:      self,
		timing:    timing,
		log:       writer.Of(deps.Log, writer.Owners).With("Cell", cell),
		connected: true,
	}
	made := make(chan struct{}) // a step nudges the duty
	h.duty = repeater.New(timing.Poll, func(ctx context.Context) {
		<-made
		h.step(ctx)
	})
	close(made)
	deps.Watcher.Listen(h.watched(ownerRow), h.duty.Nudge)
	deps.Watcher.Listen(h.watched(requestRow), h.duty.Nudge)
	return h
}

// key returns the key of one of the cell's rows.
func (h *Holder) key(row string) cottonlanding.Key {
	return h.deps.Reader.partition.Key(rowPrefix + h.cell.String() + "/" + row)
}

// watched returns the key of one of the cell's rows of which the table tells.
func (h *Holder) watched(row string) cottonlanding.Key {
	return h.deps.Reader.partition.Key(cottonlanding.WatchedPrefix + rowPrefix + h.cell.String() + "/" + row)
}

// View returns what is known of the owner.
func (h *Holder) View() View {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.view
}

// TableReachable reports whether the last call of the table succeeded. Holders that look seldom go by
// the roll as well.
func (h *Holder) TableReachable() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	pollsOften := h.validUntil > 0 || h.deps.Cells() == 1
	return h.connected && (pollsOften || h.deps.Watcher.Connected())
}

// ValidUntil returns until when this member surely is the owner; zero if it isn't.
func (h *Holder) ValidUntil() cottonlanding.Millis {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.validUntil
}

// Slow reports whether the table is slow, by the newer of what this holder's own calls and
// the roll's show. Holders that look often go by their own.
func (h *Holder) Slow() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.deps.Cells() > 1 && h.validUntil == 0 && h.lastCallAt < h.deps.Watcher.LastContactAt() {
		return h.deps.Watcher.Slow()
	}
	return h.lastCallTime >= h.timing.SlowCall
}

// ttl returns the time to live to ask for.
func (h *Holder) ttl() cottonlanding.Millis {
	if h.Slow() {
		return h.timing.SlowTTL
	}
	return h.timing.TTL
}

// timeout bounds the next call. The one after a call that failed has the time of a
// slow table: it goes over a new connection, so that it costs no more than needed,
// and tells a slow table from a connection that went silent.
func (h *Holder) timeout() cottonlanding.Millis {
	h.mu.Lock()
	failed := !h.connected
	h.mu.Unlock()
	if failed || h.Slow() {
		return max(h.timing.SlowTimeout, h.timing.Timeout)
	}
	return h.timing.Timeout
}

// recordCall takes in what became of a call of the table, and how long it took. The first one that fails
// says nothing of how slow the table is: its connection may have gone silent, and
// the next call shows whether it was only that.
func (h *Holder) recordCall(took cottonlanding.Millis, err error) {
	connected := err == nil || errors.Is(err, cottonlanding.ErrConflict)
	if !connected {
		h.deps.Watcher.recordFailure(h.clock.Now())
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if connected || !h.connected {
		h.lastCallTime = took
	}
	h.lastCallAt = h.clock.Now()
	switch {
	case connected == h.connected:
	case connected:
		h.log.Info("table regained")
	default:
		h.log.Warn("table lost", "Error", err)
	}
	h.connected = connected
}

// Nudge makes the holder read at once.
func (h *Holder) Nudge() {
	h.freshReadFrom.Store(int64(h.clock.Now()))
	h.duty.Nudge()
}

// Invalidate gives up the belief to be the owner, after a write showed another.
func (h *Holder) Invalidate() {
	h.mu.Lock()
	h.validUntil = 0
	h.mu.Unlock()
	h.Nudge()
}

// MarkOwnerEnded takes in that the process of the owner named in a version of the owner row was seen to have ended, so
// that nobody needs to wait until its last beat is old. The owner may be alive all the same, as one
// whose host refuses connections: a beat that still moves says so, and nothing rests on its death
// before its last beat is old.
func (h *Holder) MarkOwnerEnded(version cottonlanding.Version) {
	h.mu.Lock()
	known := h.endedVersion == version || h.view.Version != version
	if !known {
		h.endedVersion, h.endedAt = version, h.clock.Now()
	}
	h.mu.Unlock()
	if !known {
		h.log.Info("process of the owner has ended", "Version", version)
		h.Nudge()
	}
}

// ownerEndedAt returns when the process of the present owner was seen to have ended, zero if it wasn't.
func (h *Holder) ownerEndedAt(view View) cottonlanding.Millis {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.endedVersion != view.Version {
		return 0
	}
	return h.endedAt
}

// Leave keeps this member from taking over again.
func (h *Holder) Leave() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaving = true
}

// Close ends the duty without releasing anything.
func (h *Holder) Close() {
	h.duty.Close()
	if h.takeOverTimer != nil {
		h.takeOverTimer.Stop()
	}
}

func (h *Holder) step(ctx context.Context) {
	h.applyOwnerRow()
	switch {
	case h.isOwner():
		h.renew(ctx)
		h.forwardRequest()
	case h.mayPostponeRead():
		h.requestCell(ctx)
	default:
		h.observe(ctx)
	}
}

func (h *Holder) isOwner() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.validUntil > 0
}

// renew writes a beat. After an unclear answer the row is read; the time to live
// is only extended by a beat that surely was written.
func (h *Holder) renew(ctx context.Context) {
	sent, ttl := h.clock.Now(), h.ttl()
	h.mu.Lock()
	if ttl < h.beatTTL {
		// Others go by the shorter time as soon as the beat is written, also if its
		// answer is lost.
		h.validUntil = min(h.validUntil, sent+ttl)
	}
	h.mu.Unlock()
	id := newTransactionID()
	version, err := h.write(ctx, id, cottonlanding.Write{Key: h.key(beatRow), Expect: h.beat, Value: h.encodeBeat(ttl, h.deps.Report())})
	h.recordCall(h.clock.Now()-sent, err)
	if errors.Is(err, cottonlanding.ErrAmbiguous) {
		version, err = h.confirmBeat(ctx, id)
	}
	switch {
	case err == nil:
		h.beat, h.beatTTL = version, ttl
		h.mu.Lock()
		if h.validUntil > 0 {
			h.validUntil = sent + ttl
		}
		h.mu.Unlock()
	case !errors.Is(err, cottonlanding.ErrUnavailable):
		h.freshReadFrom.Store(int64(h.clock.Now())) // what was read before doesn't show why
		h.observe(ctx)
	}
}

// confirmBeat returns the version of the beat row if the transaction wrote it last.
func (h *Holder) confirmBeat(ctx context.Context, id cottonlanding.TransactionID) (cottonlanding.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, h.timeout().Duration())
	defer cancel()
	sent := h.clock.Now()
	rows, err := h.deps.Table.Read(ctx, h.key(beatRow))
	h.recordCall(h.clock.Now()-sent, err)
	if err != nil {
		return 0, err
	}
	if len(rows) != 1 || rows[0].Transaction != id {
		return 0, fmt.Errorf("the beat was not written: %w", cottonlanding.ErrConflict)
	}
	return rows[0].Version, nil
}

func newTransactionID() cottonlanding.TransactionID {
	return cottonlanding.TransactionID(uuid.NewString())
}

func (h *Holder) publish(view View) {
	h.mu.Lock()
	old := h.view
	h.view = view
	if view.Owner.Member != h.self {
		h.validUntil = 0
	}
	h.mu.Unlock()
	if old.Version != view.Version {
		h.ownerRowSince = view.Read
		h.log.Info("owner changed", "Owner", view.Owner.ID, "Address", view.Owner.Address,
			"Epoch", view.Owner.Epoch, "Version", view.Version)
		h.deps.Changed(view)
	}
}

func (h *Holder) write(ctx context.Context, id cottonlanding.TransactionID, writes ...cottonlanding.Write) (cottonlanding.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, h.timeout().Duration())
	defer cancel()
	receipt, err := h.deps.Table.Commit(ctx, cottonlanding.Transaction{ID: id, Writes: writes})
	return receipt.Version, err
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// NewID returns an id for one life of a process, which starts with its name.
func NewID(name string) cottonlanding.SessionID {
	return cottonlanding.SessionID(name + "." + uuid.NewString()[:8])
}
