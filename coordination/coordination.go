// Package coordination exports the coordination primitives of cottonlanding's daemons for use in
// other programs: sessions, ownership of cells with fencing, group commit, and a configuration
// with generations that only increase.
//
// All processes agree through one transactional table (cottonlanding.Table), for which the program
// provides an adapter. The package doesn't compare the clocks of two machines and doesn't use HTTP.
package coordination

import (
	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/coordination/committer"
	"github.com/cottonlanding/cottonlanding/internal/coordination/follower"
	"github.com/cottonlanding/cottonlanding/internal/coordination/observer"
	"github.com/cottonlanding/cottonlanding/internal/coordination/registrar"
	"github.com/cottonlanding/cottonlanding/internal/coordination/seizer"
)

// Sessions determine which processes are alive.
type (
	// Session is a process's description of itself to the others.
	Session = registrar.Session
	// Registrar renews the session of this process.
	Registrar = registrar.Registrar
	// Observer determines which sessions are alive and reads the owners of the cells.
	Observer = observer.Observer
	// View is the result of one read of an Observer.
	View = observer.View
)

// Cells have one owner at a time.
type (
	// OwnerRow names the owner of a cell and its epoch.
	OwnerRow = observer.OwnerRow
	// Seizer changes the owner of a cell.
	Seizer = seizer.Seizer
)

// Group commit combines the writes of many proposers.
type (
	// Committer commits proposals in few transactions and resolves lost answers.
	Committer = committer.Committer
	// Proposal is a set of writes that takes effect as a whole or not at all.
	Proposal = committer.Proposal
	// CommitterOption changes a Committer's defaults.
	CommitterOption = committer.Option
)

// The configuration is a text with a generation that only increases.
type (
	// Follower keeps this process at the newest generation.
	Follower = follower.Follower
	// Snapshot is one accepted configuration.
	Snapshot = follower.Snapshot
	// Conflict is the error of an Apply when another generation came first.
	Conflict = follower.Conflict
)

// NewSessionID returns a new random id.
func NewSessionID() cottonlanding.SessionID { return registrar.NewID() }

// NewRegistrar starts a Registrar that renews the session, whose time to live is ttl.
func NewRegistrar(table cottonlanding.Table, clock cottonlanding.Clock, session Session, ttl cottonlanding.Millis) *Registrar {
	return registrar.New(table, clock, session, ttl)
}

// NewObserver starts an Observer of all sessions and of the owners of the cells of one data centre. It
// reads the table at intervals of poll and calls changed with every view; ttl is the sessions' time to
// live.
func NewObserver(table cottonlanding.Table, clock cottonlanding.Clock, dataCentre cottonlanding.DataCentre, ttl, poll cottonlanding.Millis, changed func(View)) *Observer {
	return observer.New(table, clock, dataCentre, ttl, poll, changed)
}

// NewSeizer returns a Seizer that writes to table.
func NewSeizer(table cottonlanding.Table) *Seizer { return seizer.New(table) }

// Guard returns the check that an owner puts into each of its transactions. It
// fails once the owner row has changed, as when another process seized the cell.
func Guard(row OwnerRow) cottonlanding.Check { return seizer.Guard(row) }

// NewCommitter starts a Committer. The row named by lane serializes its transactions and must never
// have been used before.
func NewCommitter(table cottonlanding.Table, clock cottonlanding.Clock, lane cottonlanding.Key, options ...CommitterOption) *Committer {
	return committer.New(table, clock, lane, options...)
}

// WithSpacing sets the minimum time between two transactions.
func WithSpacing(spacing cottonlanding.Millis) CommitterOption { return committer.WithSpacing(spacing) }

// NewFollower starts a Follower that reads the table at intervals of poll and calls changed with each
// newer generation.
func NewFollower(table cottonlanding.Table, committer *Committer, poll cottonlanding.Millis, changed func(Snapshot)) *Follower {
	return follower.New(table, committer, poll, changed)
}
