// Package holder elects one of many processes as the owner of a cell and tells all of them which
// one it is. Each process has a Holder per cell. It serves the cells of workflows; the cells of jobs
// use the packages registrar, observer and seizer.
//
// The election uses two rows of a partition that several cells share. The owner row names the
// owner and its epoch, which fences everything that the owner does; all processes receive its
// changes through the table's feed (Watcher). The beat row is the owner's heartbeat: others take
// over once it has been unchanged for its time to live. The owner counts that time from before it
// sent the beat, so its ownership expires in its own view before it does in any other.
//
// With a single cell every process reads its beat. With many cells owners read each other's beats
// and the other processes read seldom, so that the number of reads doesn't grow with processes
// times cells. A process that finds an owner dead clears the owner row, which the feed announces
// to all. Processes with a large share (Member.Share), few cells and the cell's workers in their own
// data centre are the first to take the cell.
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
	// maxGapPolls bounds the time counted between two reads, in polls, so that a reader that was
	// paused doesn't attribute its own pause to the owner.
	maxGapPolls = 3
	// earlyReadDivisor gives the part of a poll by which a read may come before it is due, since
	// steps don't run on time to the millisecond.
	earlyReadDivisor = 2
	// idlePollsPerCell is the number of idle polls per cell between two checks of a process that
	// owns no cell. To see that an owner is alive takes two reads of the beats of all cells; with
	// this interval the rows read per second are the same for one cell and for many.
	idlePollsPerCell = 2
	// driftMarginDivisor extends the time to live by 1/10 to allow for clock drift.
	driftMarginDivisor = 10
	// releaseRetryInterval is the time between two attempts to release a cell.
	releaseRetryInterval = 50 * cottonlanding.Millis(1)
)

// Dependencies are the parts and callbacks that a Holder uses.
type Dependencies struct {
	Table cottonlanding.Table
	// Watcher holds the owner and request rows; Reader reads the beats of a partition's cells.
	Watcher *Watcher
	Reader  *Reader
	Clock   cottonlanding.Clock
	Log     *slog.Logger
	// Changed is called on every change of owner, from a single goroutine.
	Changed func(View)
	// CellRequested is called from the same goroutine when a member with much more share per cell
	// requests the cell from this owner, which should then call ReleaseTo.
	CellRequested func(Member)
	// Owned returns the number of cells that this process owns, OwnedBy the number that a given
	// process owns as far as known here, Cells the number of all cells.
	Owned   func() int
	OwnedBy func(cottonlanding.SessionID) int
	Cells   func() int
	// CellsKnown reports whether this process has received the reports of all cells, which it
	// needs before it takes calls.
	CellsKnown func() bool
	// Remote reports whether the cell's workers are in another data centre than this member.
	Remote func() bool
	// TableClock returns a reading of the table's clock, and false while there is none. It may be nil.
	TableClock func() (cottonlanding.TableReading, bool)
	// Leases returns by when the owner wants the leases to end that it grants, which is written with each
	// beat, and zero while it has nothing to say: see Holder.LeasesEnd. It may be nil.
	Leases func() Leases
	// Report returns the owner's report of its cell, which is written with each beat.
	Report func() []byte
}

// Holder takes part in the election of one cell's owner on behalf of one member.
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
	// leasesEnd is what the last confirmed beat of this member says of its leases.
	leasesEnd cottonlanding.Millis
	leaving   bool
	// lastCallTime is the duration of the last table call that shows how slow the table is.
	lastCallTime cottonlanding.Millis
	// connected is whether the last call succeeded; lastCallAt is when its result came.
	connected  bool
	lastCallAt cottonlanding.Millis
	// endedVersion is the version of the owner row whose owner's process was reported at endedAt to have ended.
	endedVersion cottonlanding.Version
	endedAt      cottonlanding.Millis

	// The fields below are used by the duty's goroutine only.

	// beatVersion is the version of the beat row that was last read or written.
	beatVersion cottonlanding.Version
	// beatTTL is the time to live given in the last beat row that was read.
	beatTTL cottonlanding.Millis
	// beatLeases is what the last beat row that was read or written says of leases.
	beatLeases statedLeases
	// beatSince is when the beat row took its present version, as far as this member has seen.
	beatSince cottonlanding.Millis
	// ownerAliveAt is when the owner was last known to be alive: its beat changed between two
	// reads, or it has just become the owner.
	ownerAliveAt cottonlanding.Millis
	// forwardedVersion is the version of the owner row for which a request was forwarded,
	// undecodableVersion that of an owner row that can't be decoded.
	forwardedVersion, undecodableVersion cottonlanding.Version
	// ownerRowSince is when the present owner row was first seen.
	ownerRowSince cottonlanding.Millis
	// lastReadSentAt and lastReadAt are when the last read that this holder used was sent and
	// answered.
	lastReadSentAt, lastReadAt cottonlanding.Millis
	// takeOverTimer runs the duty when this member is due to take a cell without an owner.
	takeOverTimer *time.Timer
	// freshReadFrom is the instant after which the next read must be sent, in milliseconds.
	freshReadFrom atomic.Int64

	duty *repeater.Repeater
}

// New starts a holder, which follows the cell's owner and takes the cell when it has none.
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
	initialized := make(chan struct{}) // closed once h.duty is set, which a step uses
	h.duty = repeater.New(timing.Poll, func(ctx context.Context) {
		<-initialized
		h.step(ctx)
	})
	close(initialized)
	deps.Watcher.Listen(h.watchedKey(ownerRow), h.duty.Nudge)
	deps.Watcher.Listen(h.watchedKey(requestRow), h.duty.Nudge)
	return h
}

// key returns the key of one of the cell's rows.
func (h *Holder) key(row string) cottonlanding.Key {
	return h.deps.Reader.partition.Key(rowPrefix + h.cell.String() + "/" + row)
}

// watchedKey returns the key of one of the cell's rows whose changes the table's feed announces.
func (h *Holder) watchedKey(row string) cottonlanding.Key {
	return h.deps.Reader.partition.Key(cottonlanding.WatchedPrefix + rowPrefix + h.cell.String() + "/" + row)
}

// View returns what this member knows of the owner.
func (h *Holder) View() View {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.view
}

// TableReachable reports whether the last call of the table succeeded. For holders that read seldom
// the watcher must be connected as well.
func (h *Holder) TableReachable() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	pollsOften := h.validUntil > 0 || h.deps.Cells() == 1
	return h.connected && (pollsOften || h.deps.Watcher.Connected())
}

// ValidUntil returns the instant until which this member is guaranteed to be the owner, zero if it
// isn't the owner.
func (h *Holder) ValidUntil() cottonlanding.Millis {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.validUntil
}

// Slow reports whether the table is slow, judged by the more recent of this holder's and the
// watcher's calls. Holders that read often use their own calls only.
func (h *Holder) Slow() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.deps.Cells() > 1 && h.validUntil == 0 && h.lastCallAt < h.deps.Watcher.LastContactAt() {
		return h.deps.Watcher.Slow()
	}
	return h.lastCallTime >= h.timing.SlowCall
}

// ttl returns the time to live for the next beat.
func (h *Holder) ttl() cottonlanding.Millis {
	if h.Slow() {
		return h.timing.SlowTTL
	}
	return h.timing.TTL
}

// timeout returns the time limit of the next call. After a failed call it is the one for a slow
// table: the call goes over a new connection, so the longer limit costs nothing if only the old
// connection was dead, and the result shows whether the table is slow.
func (h *Holder) timeout() cottonlanding.Millis {
	h.mu.Lock()
	failed := !h.connected
	h.mu.Unlock()
	if failed || h.Slow() {
		return max(h.timing.SlowTimeout, h.timing.Timeout)
	}
	return h.timing.Timeout
}

// recordCall records the duration and result of a call of the table. The duration of the first
// failed call is ignored: its connection may be dead, and the next call shows whether the table is slow.
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

// Nudge makes the holder read the table at once.
func (h *Holder) Nudge() {
	h.freshReadFrom.Store(int64(h.clock.Now()))
	h.duty.Nudge()
}

// Invalidate ends this member's ownership in its own view, after a write showed that another
// member owns the cell.
func (h *Holder) Invalidate() {
	h.mu.Lock()
	h.validUntil = 0
	h.mu.Unlock()
	h.Nudge()
}

// MarkOwnerEnded reports that the process of the owner named in a version of the owner row appears to
// have ended, so that the take-over doesn't wait for its last beat to expire. The report may be wrong,
// for instance when the owner's host refuses connections: a beat that still changes disproves it, and
// until the last beat has expired nothing relies on the owner's end.
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

// ownerEndedAt returns when the present owner's process was reported to have ended, zero if it wasn't.
func (h *Holder) ownerEndedAt(view View) cottonlanding.Millis {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.endedVersion != view.Version {
		return 0
	}
	return h.endedAt
}

// Leave prevents this member from taking the cell from now on.
func (h *Holder) Leave() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaving = true
}

// Close stops the holder without releasing the cell.
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

// renew writes a beat. After an ambiguous answer it reads the row back; only a beat that is known to
// be written extends the ownership.
func (h *Holder) renew(ctx context.Context) {
	sent, ttl := h.clock.Now(), h.ttl()
	h.mu.Lock()
	if ttl < h.beatTTL {
		// Other members use the shorter time as soon as the beat is written, even if its answer
		// is lost.
		h.validUntil = min(h.validUntil, sent+ttl)
	}
	h.mu.Unlock()
	id, leases := newTransactionID(), h.nextLeases()
	version, err := h.write(ctx, id, cottonlanding.Write{Key: h.key(beatRow), Expect: h.beatVersion, Value: h.encodeBeat(ttl, leases, h.deps.Report())})
	h.recordCall(h.clock.Now()-sent, err)
	if errors.Is(err, cottonlanding.ErrAmbiguous) {
		version, err = h.confirmBeat(ctx, id)
	}
	switch {
	case err == nil:
		h.beatVersion, h.beatTTL, h.beatLeases = version, ttl, leases
		h.mu.Lock()
		if h.validUntil > 0 {
			h.validUntil, h.leasesEnd = sent+ttl, max(h.leasesEnd, leases.earliest)
		}
		h.mu.Unlock()
	case !errors.Is(err, cottonlanding.ErrUnavailable):
		h.freshReadFrom.Store(int64(h.clock.Now())) // an older read doesn't show the conflicting write
		h.observe(ctx)
	}
}

// confirmBeat returns the version of the beat row if the given transaction was the last to write it,
// and ErrConflict otherwise.
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
		return 0, fmt.Errorf("beat row was last written by another transaction: %w", cottonlanding.ErrConflict)
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

// NewID returns a random id for one run of a process, with the process's name as its prefix.
func NewID(name string) cottonlanding.SessionID {
	return cottonlanding.SessionID(name + "." + uuid.NewString()[:8])
}
