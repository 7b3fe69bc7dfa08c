// Package runner assembles one daemon from its parts and runs it until a planned
// stop.
package runner

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/api/server"
	"github.com/cottonlanding/cottonlanding/internal/coordination/committer"
	"github.com/cottonlanding/cottonlanding/internal/coordination/follower"
	"github.com/cottonlanding/cottonlanding/internal/coordination/observer"
	"github.com/cottonlanding/cottonlanding/internal/coordination/registrar"
	"github.com/cottonlanding/cottonlanding/internal/duty/waker"
	"github.com/cottonlanding/cottonlanding/internal/job/router"
	"github.com/cottonlanding/cottonlanding/internal/metrics/reporter"
	"github.com/cottonlanding/cottonlanding/internal/peer/exchanger"
	"github.com/cottonlanding/cottonlanding/internal/peer/messenger"
	"github.com/cottonlanding/cottonlanding/internal/placement/owner"
	"github.com/cottonlanding/cottonlanding/internal/placement/scheduler"
	"github.com/cottonlanding/cottonlanding/internal/request/borrower"
	"github.com/cottonlanding/cottonlanding/internal/request/claimer"
	"github.com/cottonlanding/cottonlanding/internal/request/dispatcher"
	"github.com/cottonlanding/cottonlanding/internal/request/lender"
	"github.com/cottonlanding/cottonlanding/internal/request/seater"
	"github.com/cottonlanding/cottonlanding/internal/settings/allotter"
	"github.com/cottonlanding/cottonlanding/internal/settings/loader"
	"github.com/cottonlanding/cottonlanding/internal/web/listener"
)

const (
	// claimSpacing is short, because callers wait for their claims; it grows with
	// the sessions, so that all of them together send at most 200 transactions of
	// claims a second.
	claimSpacing           = 10 * cottonlanding.Millis(1)
	claimSpacingPerSession = 5 * cottonlanding.Millis(1)
	// seatPatience is how long a new host waits for a seat before it takes
	// callers all the same, whose requests it hands to its peers.
	seatPatience = 3 * cottonlanding.Second
)

// Outside are the systems that a daemon works with.
type Outside struct {
	Table     cottonlanding.Table
	Hosts     cottonlanding.HostList
	Workers   cottonlanding.WorkerClient
	Executors cottonlanding.ExecutorClient
}

// Runner is one running daemon.
type Runner struct {
	settings loader.Settings
	outside  Outside
	clock    cottonlanding.Clock
	log      *slog.Logger

	metrics    *reporter.Reporter
	registrar  *registrar.Registrar
	observer   *observer.Observer
	decisions  *committer.Committer
	claims     *committer.Committer
	follower   *follower.Follower
	owner      *owner.Owner
	claimer    *claimer.Claimer
	sweeper    *claimer.Sweeper
	seater     *seater.Seater
	dispatcher *dispatcher.Dispatcher
	lender     *lender.Lender
	borrower   *borrower.Borrower
	messenger  *messenger.Messenger
	exchanger  *exchanger.Exchanger
	router     *router.Router
	listener   *listener.Listener
	submitted  *submittedJobs
	snapshots  chan follower.Snapshot
	ctx        context.Context
	cancel     context.CancelFunc
	duties     sync.WaitGroup
	leaving    atomic.Bool
	inForce    atomic.Bool
	// supplied says that requests can be run on executors of this data centre.
	supplied atomic.Bool
	// evacuated says that nothing new starts in this data centre, evacuatedDue that this has
	// just changed.
	evacuated    atomic.Bool
	evacuatedDue waker.Waker
	drainOnce    sync.Once
	drained      chan struct{}
	hostFailures atomic.Int64
}

// forwarding lets the dispatcher be made before the exchanger that it needs.
type forwarding struct {
	exchanger atomic.Pointer[exchanger.Exchanger]
}

// Forward implements dispatcher.Forwarder.
func (f *forwarding) Forward(ctx context.Context, call dispatcher.Call) (dispatcher.Reply, error) {
	target := f.exchanger.Load()
	if target == nil {
		return dispatcher.Reply{}, fmt.Errorf("the daemon is starting: %w", cottonlanding.ErrUnavailable)
	}
	return target.Forward(ctx, call)
}

// New starts a daemon. It fails if an address is in use. The platform need not
// be there yet.
func New(settings loader.Settings, outside Outside, log *slog.Logger) (*Runner, error) {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Runner{
		settings:  settings,
		outside:   outside,
		clock:     cottonlanding.NewHostClock(),
		log:       log,
		submitted: newSubmittedJobs(),
		snapshots: make(chan follower.Snapshot, 1),
		ctx:       ctx,
		cancel:    cancel,
		drained:   make(chan struct{}),

		evacuatedDue: waker.New(),
	}
	peerServer := &exchanger.Server{}
	var err error
	if r.messenger, err = messenger.New(settings.PeerAddress, peerServer); err != nil {
		cancel()
		return nil, err
	}
	r.metrics = reporter.New(settings.DataCentre)
	forward := &forwarding{}
	r.build(forward)
	r.exchanger = exchanger.New(exchanger.Dependencies{
		Messenger:  r.messenger,
		Clock:      r.clock,
		Session:    r.registrar.Session().ID,
		DataCentre: settings.DataCentre,
		Seeds:      settings.Peers,
		Owner:      r.owner,
		Lender:     r.lender,
		Follower:   r.follower,
		Observer:   r.observer,
	})
	forward.exchanger.Store(r.exchanger)
	r.router = router.New(outside.Table, r.exchanger)
	r.borrower = borrower.New(r.registrar.Session().ID, r.clock, r.dispatcher, r.exchanger)
	peerServer.Serve(exchanger.Parts{
		Exchanger: r.exchanger, Owner: r.owner, Dispatcher: r.dispatcher, Released: r.observer.Nudge,
	})
	var allotment allotter.Allotment
	allotment.ReadEnvironment()
	limits := listener.Limits{Log: r.log}
	if allotment != (allotter.Allotment{}) {
		limits = listener.For(allotment.Memory, allotment.Descriptors)
		limits.Log = r.log
		allotment.LimitHeap()
	}
	if r.listener, err = listener.NewLimited(r.api(), limits, settings.HTTPAddress); err != nil {
		r.abort()
		return nil, err
	}
	r.duties.Go(r.followHosts)
	r.duties.Go(r.followConfiguration)
	r.duties.Go(r.submitJobs)
	r.log.Info("started", "Session", r.registrar.Session().ID, "DataCentre", settings.DataCentre,
		"HTTPAddress", settings.HTTPAddress, "PeerAddress", settings.PeerAddress)
	return r, nil
}

// build makes the parts that don't speak to peers.
func (r *Runner) build(forward *forwarding) {
	table, timing := r.outside.Table, r.settings.Timing
	r.registrar = registrar.New(table, r.clock, registrar.Session{
		ID:          registrar.NewID(),
		DataCentre:  r.settings.DataCentre,
		HTTPAddress: r.settings.HTTPAddress,
		PeerAddress: r.settings.PeerAddress,
		Starting:    true,
	}, timing.SessionTTL)
	session := r.registrar.Session().ID
	lane := func(name string) cottonlanding.Key {
		return cottonlanding.Key("Lanes/" + string(session) + "/" + name)
	}
	r.decisions = committer.New(table, r.clock, lane("Decisions"), committer.WithSpacing(timing.CommitSpacing))
	r.claims = committer.New(table, r.clock, lane("Claims"), committer.WithSpacing(claimSpacing))
	r.owner = owner.New(owner.Dependencies{
		Table:     table,
		Workers:   r.outside.Workers,
		Clock:     r.clock,
		Committer: r.decisions,
		Registrar: r.registrar,
		Log:       r.log,
		Released:  func(cottonlanding.CellID) { r.announceReleased(forward) },
	}, r.settings.DataCentre, r.settings.CellsPerDataCentre, scheduler.Timing{
		LeaseTTL:    timing.LeaseTTL,
		CutOffGrace: timing.CutOffGrace,
		Retention:   timing.JobRetention,
	})
	r.observer = observer.New(table, r.clock, r.settings.DataCentre, timing.SessionTTL, timing.Poll, r.observed)
	r.claimer = claimer.New(table, r.claims, r.clock, session, cottonlanding.Minute)
	r.seater = seater.New(table, r.clock, r.registrar, r.observer, r.settings.Seats, timing.CutOffGrace)
	r.sweeper = claimer.NewSweeper(r.claimer, r.living)
	r.lender = lender.New(r.settings.Seats, r.registrar.Valid)
	r.dispatcher = dispatcher.New(r.outside.Executors, r.claimer, r.clock, forward)
	r.follower = follower.New(table, r.decisions, timing.Poll, r.offerSnapshot)
}

// observed passes on a view of who is alive and who owns what.
func (r *Runner) observed(view observer.View) {
	r.owner.Observed(view)
	r.claims.SetSpacing(max(claimSpacing, claimSpacingPerSession*cottonlanding.Millis(len(view.Live))))
}

func (r *Runner) announceReleased(forward *forwarding) {
	if target := forward.exchanger.Load(); target != nil {
		target.NudgeReleased()
	}
}

func (r *Runner) api() *server.Server {
	return server.New(server.Dependencies{
		Jobs:           r.router,
		Requests:       r.dispatcher,
		Configurations: r.follower,
		Metrics:        r.metrics,
		Ready:          r.Ready,
		Drain:          func() { go r.drain() },
		State:          func() any { return r.State() },
	})
}

// Ready reports whether callers should be sent here: a configuration is in
// force, the host has its seat or has waited for one, and it isn't leaving.
func (r *Runner) Ready() bool {
	return !r.leaving.Load() && r.inForce.Load() && (r.supplied.Load() || r.clock.Now() > seatPatience)
}
