// Package holder lets one of many processes hold a partition of the platform's
// table, and tells all of them which one it is.
//
// Two rows say it. The owner row changes with each change of owner, its version
// guards all that the owner writes. The beat row is rewritten by a living owner;
// others take over once it has stood still for the time to live. The owner counts
// that time from before it sent a beat, so that it never believes in itself for
// longer than any other does.
package holder

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"sync"

	"github.com/google/uuid"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/duty/repeater"
)

const (
	rowPrefix = "Holder/"
	ownerRow  = rowPrefix + "Owner"
	beatRow   = rowPrefix + "Beat"
	// gapFactor bounds the time that counts between two reads, in polls: a reader
	// that was paused must not take its own pause for the owner's.
	gapFactor = 3
	scanLimit = 10
	// marginDivisor lengthens the time to live by 1/10 against clock drift.
	marginDivisor = 10
	// releasePause is the pause before a release that failed is tried again.
	releasePause = 50 * cottonlanding.Millis(1)
)

// Holder is one member's part.
type Holder struct {
	table     cottonlanding.Table
	clock     cottonlanding.Clock
	partition cottonlanding.Partition
	self      Member
	timing    Timing
	log       *slog.Logger
	changed   func(View)
	asked     func(Member)

	mu         sync.Mutex
	view       View
	validUntil cottonlanding.Millis
	leaving    bool
	// lastCall is how long the last call of the table took that says how slow it is.
	lastCall  cottonlanding.Millis
	connected bool

	// The fields below belong to the duty's goroutine.
	beat cottonlanding.Version
	// beatTTL is the time to live that the last beat row seen asks for.
	beatTTL   cottonlanding.Millis
	beatSince cottonlanding.Millis
	// requestAt is when the owner last looked for a request, heard the version of the
	// owner row for which one was passed on.
	requestAt cottonlanding.Millis
	heard     cottonlanding.Version
	// ownerSince is when the present owner row was first seen.
	ownerSince cottonlanding.Millis
	lastRead   cottonlanding.Millis

	duty *repeater.Repeater
}

// New starts to follow the partition and to hold it when nobody else does.
// changed is called from one goroutine whenever the owner changes, asked from the
// same when a larger member asks this owner for the partition, which it should
// then Yield.
func New(table cottonlanding.Table, clock cottonlanding.Clock, partition cottonlanding.Partition, self Member, timing Timing, log *slog.Logger, changed func(View), asked func(Member)) *Holder {
	h := &Holder{
		table:     table,
		clock:     clock,
		partition: partition,
		self:      self,
		timing:    timing,
		log:       log,
		changed:   changed,
		asked:     asked,
		connected: true,
	}
	h.duty = repeater.New(timing.Poll, h.step)
	return h
}

// View returns what is known of the owner.
func (h *Holder) View() View {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.view
}

// Reading reports whether the last call of the table succeeded.
func (h *Holder) Reading() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.connected
}

// ValidUntil returns until when this member surely is the owner; zero if it isn't.
func (h *Holder) ValidUntil() cottonlanding.Millis {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.validUntil
}

// Slow reports whether the table is slow.
func (h *Holder) Slow() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastCall >= h.timing.SlowCall
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
	if h.Slow() || !h.Reading() {
		return max(h.timing.SlowTimeout, h.timing.Timeout)
	}
	return h.timing.Timeout
}

// noteCall takes in what became of a call of the table. The first one that fails
// says nothing of how slow the table is: its connection may have gone silent, and
// the next call shows whether it was only that.
func (h *Holder) noteCall(sent cottonlanding.Millis, err error) {
	connected := err == nil || errors.Is(err, cottonlanding.ErrConflict)
	h.mu.Lock()
	defer h.mu.Unlock()
	if connected || !h.connected {
		h.lastCall = h.clock.Now() - sent
	}
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
func (h *Holder) Nudge() { h.duty.Nudge() }

// Lose gives up the belief to be the owner, after a write showed another.
func (h *Holder) Lose() {
	h.mu.Lock()
	h.validUntil = 0
	h.mu.Unlock()
	h.Nudge()
}

// Leave keeps this member from taking over again.
func (h *Holder) Leave() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaving = true
}

// Close ends the duty without releasing anything.
func (h *Holder) Close() { h.duty.Close() }

func (h *Holder) step(ctx context.Context) {
	if h.mine() {
		h.renew(ctx)
		h.lookForRequest(ctx)
		return
	}
	h.observe(ctx)
}

func (h *Holder) mine() bool {
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
	id := newTransaction()
	version, err := h.write(ctx, id, cottonlanding.Write{Key: h.partition.Key(beatRow), Expect: h.beat, Value: encode(Beat{h.self, ttl})})
	h.noteCall(sent, err)
	if errors.Is(err, cottonlanding.ErrAmbiguous) {
		version, err = h.lookBack(ctx, id)
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
		h.observe(ctx)
	}
}

// lookBack returns the version of the beat row if the transaction wrote it last.
func (h *Holder) lookBack(ctx context.Context, id cottonlanding.TransactionID) (cottonlanding.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, h.timeout().Duration())
	defer cancel()
	sent := h.clock.Now()
	rows, err := h.table.Read(ctx, h.partition.Key(beatRow))
	h.noteCall(sent, err)
	if err != nil {
		return 0, err
	}
	if len(rows) != 1 || rows[0].Transaction != id {
		return 0, fmt.Errorf("the beat was not written: %w", cottonlanding.ErrConflict)
	}
	return rows[0].Version, nil
}

func newTransaction() cottonlanding.TransactionID {
	return cottonlanding.TransactionID(uuid.NewString())
}

// observe reads both rows, tells of a new owner, and takes over from one that ended.
func (h *Holder) observe(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, h.timeout().Duration())
	defer cancel()
	sent := h.clock.Now()
	rows, err := h.table.Scan(callCtx, h.partition.Key(rowPrefix), "", scanLimit)
	h.noteCall(sent, err)
	if err != nil {
		return
	}
	now := h.clock.Now()
	view := View{Read: now}
	beat := cottonlanding.Version(0)
	last := Beat{TTL: h.timing.TTL}
	var request Request
	requestVersion := cottonlanding.Version(0)
	for _, row := range rows {
		switch row.Key {
		case h.partition.Key(beatRow):
			beat = row.Version
			if err := json.Unmarshal(row.Value, &last); err != nil {
				h.log.Error("beat row", "Error", err)
				return
			}
		case h.partition.Key(requestRow):
			requestVersion = row.Version
			if err := json.Unmarshal(row.Value, &request); err != nil {
				h.log.Error("request row", "Error", err) // it is written anew for the next owner
			}
		case h.partition.Key(ownerRow):
			view.Version = row.Version
			if err := json.Unmarshal(row.Value, &view.Owner); err != nil {
				h.log.Error("owner row", "Error", err)
				return
			}
		}
	}
	h.beatTTL = max(last.TTL, h.timing.TTL)
	h.noteBeat(beat, now)
	view.BeatAge = now - h.beatSince
	h.publish(view)
	switch {
	case h.free(view, now):
		h.takeOver(ctx, view)
	case h.wants(view, request.OwnerVersion, now):
		h.ask(ctx, view, requestVersion)
	}
}

// noteBeat measures for how long the beat row has stood still.
func (h *Holder) noteBeat(beat cottonlanding.Version, now cottonlanding.Millis) {
	gap := now - h.lastRead
	h.lastRead = now
	switch {
	case beat != h.beat || h.beatSince == 0:
		h.beat, h.beatSince = beat, now
	case gap > gapFactor*h.timing.Poll:
		h.beatSince += gap - gapFactor*h.timing.Poll
	}
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
		h.ownerSince = view.Read
		h.log.Info("owner changed", "Partition", h.partition, "Owner", view.Owner.ID, "Address", view.Owner.Address,
			"Epoch", view.Owner.Epoch, "Version", view.Version)
		h.changed(view)
	}
}

func (h *Holder) write(ctx context.Context, id cottonlanding.TransactionID, writes ...cottonlanding.Write) (cottonlanding.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, h.timeout().Duration())
	defer cancel()
	receipt, err := h.table.Commit(ctx, cottonlanding.Transaction{ID: id, Writes: writes})
	return receipt.Version, err
}

func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("encode row: %v", err)) // the types have no field that can fail
	}
	return data
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// Guard returns the check that fails once another member owns the partition.
func Guard(partition cottonlanding.Partition, view View) cottonlanding.Check {
	return cottonlanding.Check{Key: partition.Key(ownerRow), Expect: view.Version}
}

// NewID returns an id for one life of a process, which starts with its name.
func NewID(name string) cottonlanding.SessionID {
	return cottonlanding.SessionID(name + "." + uuid.NewString()[:8])
}
