// Package exchanger keeps daemons informed of each other: the newest
// configuration, the free capacity of cells, and who owns them. Over the same
// connections it hands on jobs and requests.
package exchanger

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/coordination/follower"
	"github.com/cottonlanding/cottonlanding/internal/coordination/observer"
	"github.com/cottonlanding/cottonlanding/internal/duty/ticker"
	"github.com/cottonlanding/cottonlanding/internal/duty/waker"
	"github.com/cottonlanding/cottonlanding/internal/job/router"
	"github.com/cottonlanding/cottonlanding/internal/peer/messenger"
	"github.com/cottonlanding/cottonlanding/internal/peer/wire"
	"github.com/cottonlanding/cottonlanding/internal/placement/owner"
	"github.com/cottonlanding/cottonlanding/internal/placement/scheduler"
	"github.com/cottonlanding/cottonlanding/internal/request/lender"
)

const (
	interval    = cottonlanding.Second
	callTimeout = cottonlanding.Second
	// fresh is how long what a peer said is used.
	fresh = 5 * cottonlanding.Second
	// peersPerRound bounds the peers that are spoken to in one interval.
	peersPerRound = 8
)

// Dependencies are what an exchanger works with.
type Dependencies struct {
	Messenger *messenger.Messenger
	Clock     cottonlanding.Clock
	Session   cottonlanding.SessionID
	// DataCentre is where this daemon stands.
	DataCentre cottonlanding.DataCentre
	// Seeds are peers to try while no session is known.
	Seeds    []cottonlanding.Address
	Owner    *owner.Owner
	Lender   *lender.Lender
	Follower *follower.Follower
	Observer *observer.Observer
}

// Exchanger implements router.Directory and dispatcher.Forwarder.
type Exchanger struct {
	deps Dependencies

	mu    sync.Mutex
	peers map[cottonlanding.Address]*peer
	turn  int

	// released says that the next round tells of a cell that was given up.
	released atomic.Bool

	nudge  waker.Waker
	ctx    context.Context
	cancel context.CancelFunc
	ended  chan struct{}
}

// peer is what another daemon last said.
type peer struct {
	heard      cottonlanding.Millis
	session    cottonlanding.SessionID
	dataCentre cottonlanding.DataCentre
	generation cottonlanding.Generation
	cells      []scheduler.Summary
	failures   int
}

// PeerState is a peer's part of the dump.
type PeerState struct {
	Address    cottonlanding.Address
	Session    cottonlanding.SessionID
	DataCentre cottonlanding.DataCentre
	Generation cottonlanding.Generation
	// Age is the time since the peer was last heard.
	Age      cottonlanding.Millis
	Failures int
}

// New starts to exchange summaries.
func New(deps Dependencies) *Exchanger {
	ctx, cancel := context.WithCancel(context.Background())
	e := &Exchanger{
		deps:   deps,
		peers:  make(map[cottonlanding.Address]*peer),
		nudge:  waker.New(),
		ctx:    ctx,
		cancel: cancel,
		ended:  make(chan struct{}),
	}
	go func() {
		defer close(e.ended)
		e.run()
	}()
	return e
}

// Nudge exchanges with all peers at once.
func (e *Exchanger) Nudge() {
	e.nudge.Wake()
}

// NudgeReleased tells all peers at once that a cell was given up.
func (e *Exchanger) NudgeReleased() {
	e.released.Store(true)
	e.Nudge()
}

// Close ends the exchange.
func (e *Exchanger) Close() {
	e.cancel()
	<-e.ended
}

// State returns the dump.
func (e *Exchanger) State() []PeerState {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.deps.Clock.Now()
	var out []PeerState
	for address, p := range e.peers {
		out = append(out, PeerState{
			Address:    address,
			Session:    p.session,
			DataCentre: p.dataCentre,
			Generation: p.generation,
			Age:        now - p.heard,
			Failures:   p.failures,
		})
	}
	return out
}

func (e *Exchanger) run() {
	turns := ticker.New(interval)
	defer turns.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case <-e.nudge:
			e.round(len(e.addresses()), e.released.Swap(false))
		case <-turns.Next():
			e.round(peersPerRound, false)
		}
	}
}

// addresses returns the peers that are alive as far as is known; seeds stand in
// while the table has not shown any.
func (e *Exchanger) addresses() []cottonlanding.Address {
	var out []cottonlanding.Address
	for _, session := range e.deps.Observer.View().Live {
		if session.ID != e.deps.Session {
			out = append(out, session.PeerAddress)
		}
	}
	if len(out) == 0 {
		out = e.deps.Seeds
	}
	return out
}

// round exchanges with the next most peers, in turn.
func (e *Exchanger) round(most int, released bool) {
	addresses := e.addresses()
	keep := make(map[cottonlanding.Address]bool, len(addresses))
	for _, address := range addresses {
		keep[address] = true
	}
	e.deps.Messenger.Keep(keep)
	e.forget(keep)
	var calls sync.WaitGroup
	for i := range min(most, len(addresses)) {
		address := addresses[(e.turn+i)%len(addresses)]
		calls.Go(func() { e.exchange(address, released) })
	}
	e.turn += most
	calls.Wait()
}

func (e *Exchanger) forget(keep map[cottonlanding.Address]bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for address := range e.peers {
		if !keep[address] {
			delete(e.peers, address)
		}
	}
}

func (e *Exchanger) exchange(address cottonlanding.Address, released bool) {
	ctx, cancel := context.WithTimeout(e.ctx, callTimeout.Duration())
	defer cancel()
	client, err := e.deps.Messenger.Peer(address)
	if err != nil {
		e.recordFailure(address)
		return
	}
	summary := e.Summary(e.generationOf(address))
	summary.Released = released
	reply, err := client.Exchange(ctx, summary)
	if err != nil {
		e.recordFailure(address)
		return
	}
	e.note(address, reply)
}

func (e *Exchanger) generationOf(address cottonlanding.Address) cottonlanding.Generation {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p := e.peers[address]; p != nil {
		return p.generation
	}
	return e.deps.Follower.Current().Generation // unknown: don't send the text yet
}

func (e *Exchanger) recordFailure(address cottonlanding.Address) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p := e.peers[address]; p != nil {
		p.failures++
	}
}

func (e *Exchanger) note(address cottonlanding.Address, summary *wire.Summary) {
	e.TakeIn(summary)
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.peers[address]
	if p == nil {
		p = &peer{}
		e.peers[address] = p
	}
	p.heard = e.deps.Clock.Now()
	p.session = cottonlanding.SessionID(summary.GetSession())
	p.dataCentre = cottonlanding.DataCentre(summary.GetDataCentre())
	p.generation = cottonlanding.Generation(summary.GetGeneration())
	p.cells = p.cells[:0]
	for _, cell := range summary.GetCells() {
		p.cells = append(p.cells, cellSummary(cell))
	}
}

// TakeIn takes in a configuration that a peer has and this daemon has not.
func (e *Exchanger) TakeIn(summary *wire.Summary) {
	if len(summary.GetConfiguration()) == 0 {
		return
	}
	e.deps.Follower.Offer(follower.Snapshot{
		Generation: cottonlanding.Generation(summary.GetGeneration()),
		Text:       summary.GetConfiguration(),
	})
}

// Summary returns this daemon's summary for a peer that has the generation.
func (e *Exchanger) Summary(theirs cottonlanding.Generation) *wire.Summary {
	current := e.deps.Follower.Current()
	out := &wire.Summary{
		Session:    string(e.deps.Session),
		DataCentre: string(e.deps.DataCentre),
		Generation: uint64(current.Generation),
	}
	if theirs < current.Generation {
		out.Configuration = current.Text
	}
	for _, cell := range e.deps.Owner.Summaries() {
		out.Cells = append(out.Cells, &wire.CellSummary{
			Cell:             string(cell.Cell),
			Epoch:            uint64(cell.Epoch),
			FreeMillicores:   int64(cell.Free.CPU),
			FreeBytes:        int64(cell.Free.Memory),
			FreeAccelerators: int64(cell.Free.Accelerators),
			Queued:           int64(cell.Queued),
		})
	}
	return out
}

func cellSummary(cell *wire.CellSummary) scheduler.Summary {
	return scheduler.Summary{
		Cell:  cottonlanding.CellID(cell.GetCell()),
		Epoch: cottonlanding.Epoch(cell.GetEpoch()),
		Free: cottonlanding.Resources{
			CPU:          cottonlanding.Millicores(cell.GetFreeMillicores()),
			Memory:       cottonlanding.Bytes(cell.GetFreeBytes()),
			Accelerators: cottonlanding.Accelerators(cell.GetFreeAccelerators()),
		},
		Queued: int(cell.GetQueued()),
	}
}

// Cells implements router.Directory.
func (e *Exchanger) Cells() []router.Cell {
	best := make(map[cottonlanding.CellID]router.Cell)
	add := func(dataCentre cottonlanding.DataCentre, cells []scheduler.Summary) {
		for _, summary := range cells {
			if known, found := best[summary.Cell]; found && known.Summary.Epoch >= summary.Epoch {
				continue
			}
			best[summary.Cell] = router.Cell{Summary: summary, DataCentre: dataCentre, Local: dataCentre == e.deps.DataCentre}
		}
	}
	add(e.deps.DataCentre, e.deps.Owner.Summaries())
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.deps.Clock.Now()
	for _, p := range e.peers {
		if now-p.heard <= fresh {
			add(p.dataCentre, p.cells)
		}
	}
	out := make([]router.Cell, 0, len(best))
	for _, cell := range best {
		out = append(out, cell)
	}
	return out
}

// ownerOf returns the address of a cell's owner, empty for this daemon itself.
func (e *Exchanger) ownerOf(cell cottonlanding.CellID) (cottonlanding.Address, error) {
	var epoch cottonlanding.Epoch
	var address cottonlanding.Address
	found := false
	for _, summary := range e.deps.Owner.Summaries() {
		if summary.Cell == cell {
			epoch, found = summary.Epoch, true
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for peerAddress, p := range e.peers {
		for _, summary := range p.cells {
			if summary.Cell == cell && (!found || summary.Epoch > epoch) {
				epoch, address, found = summary.Epoch, peerAddress, true
			}
		}
	}
	if !found {
		return "", fmt.Errorf("no owner of cell %s is known: %w", cell, cottonlanding.ErrUnavailable)
	}
	return address, nil
}

// Submit implements router.Directory.
func (e *Exchanger) Submit(ctx context.Context, cell cottonlanding.CellID, spec cottonlanding.JobSpec) error {
	address, err := e.ownerOf(cell)
	if err != nil {
		return err
	}
	if address == "" {
		return e.deps.Owner.Submit(ctx, cell, spec)
	}
	return e.submitTo(ctx, address, cell, spec)
}

// Cancel implements router.Directory.
func (e *Exchanger) Cancel(ctx context.Context, cell cottonlanding.CellID, name cottonlanding.JobName) error {
	address, err := e.ownerOf(cell)
	if err != nil {
		return err
	}
	if address == "" {
		return e.deps.Owner.Cancel(ctx, cell, name)
	}
	client, err := e.deps.Messenger.Peer(address)
	if err != nil {
		return err
	}
	reply, err := client.Cancel(ctx, &wire.CancelRequest{Cell: string(cell), Job: string(name)})
	if err != nil {
		return messenger.Error(err)
	}
	return messenger.ErrorOf(reply.GetCode(), reply.GetDetail())
}
