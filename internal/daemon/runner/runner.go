// Package runner assembles one daemon from its parts and runs it until a planned
// stop.
package runner

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/api/server"
	"github.com/cottonlanding/cottonlanding/internal/coordination/committer"
	"github.com/cottonlanding/cottonlanding/internal/coordination/follower"
	"github.com/cottonlanding/cottonlanding/internal/coordination/observer"
	"github.com/cottonlanding/cottonlanding/internal/coordination/registrar"
	"github.com/cottonlanding/cottonlanding/internal/job/router"
	"github.com/cottonlanding/cottonlanding/internal/metrics/reporter"
	"github.com/cottonlanding/cottonlanding/internal/peer/exchanger"
	"github.com/cottonlanding/cottonlanding/internal/peer/messenger"
	"github.com/cottonlanding/cottonlanding/internal/placement/owner"
	"github.com/cottonlanding/cottonlanding/internal/placement/scheduler"
	"github.com/cottonlanding/cottonlanding/internal/policy/evictor"
	"github.com/cottonlanding/cottonlanding/internal/policy/orderer"
	"github.com/cottonlanding/cottonlanding/internal/policy/placer"
	"github.com/cottonlanding/cottonlanding/internal/request/borrower"
	"github.com/cottonlanding/cottonlanding/internal/request/claimer"
	"github.com/cottonlanding/cottonlanding/internal/request/dispatcher"
	"github.com/cottonlanding/cottonlanding/internal/request/lender"
	"github.com/cottonlanding/cottonlanding/internal/request/seater"
	"github.com/cottonlanding/cottonlanding/internal/settings/loader"
	"github.com/cottonlanding/cottonlanding/internal/web/listener"
)

const (
	// refreshEvery is how often the share of the slots is looked at; each
	// hostsEvery-th time the host list is read.
	refreshEvery = 200 * cottonlanding.Millis(1)
	hostsEvery   = 5
	hostsTimeout = 2 * cottonlanding.Second
	// claimSpacing is short, because callers wait for their claims; it grows with
	// the sessions, so that all of them together send at most 200 transactions of
	// claims a second.
	claimSpacing           = 10 * cottonlanding.Millis(1)
	claimSpacingPerSession = 5 * cottonlanding.Millis(1)
	// balancerDelay is how long a leaving host still takes requests, so that the
	// balancer can notice.
	balancerDelay = cottonlanding.Second
	// finishWithin bounds the wait for requests and commits at a planned stop.
	finishWithin = 20 * cottonlanding.Second
	releaseWait  = 5 * cottonlanding.Second
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
	evacuatedDue chan struct{}
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

		evacuatedDue: make(chan struct{}, 1),
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
	if r.listener, err = listener.New(r.api(), settings.HTTPAddress); err != nil {
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
		Released:  func(cottonlanding.CellID) { r.tellReleased(forward) },
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

func (r *Runner) tellReleased(forward *forwarding) {
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

// offerSnapshot keeps the newest generation for followConfiguration. It is never
// called twice at a time.
func (r *Runner) offerSnapshot(snapshot follower.Snapshot) {
	select {
	case <-r.snapshots:
	default:
	}
	r.snapshots <- snapshot
}

func (r *Runner) followConfiguration() {
	for {
		select {
		case <-r.ctx.Done():
			return
		case snapshot := <-r.snapshots:
			r.putInForce(snapshot)
		}
	}
}

func (r *Runner) putInForce(snapshot follower.Snapshot) {
	configuration, err := loader.ParseConfiguration("configuration", snapshot.Text)
	if err != nil {
		r.log.Error("an accepted configuration can't be read", "Generation", snapshot.Generation, "Error", err)
		return
	}
	r.owner.SetRules(rules(configuration))
	r.dispatcher.SetConfiguration(configuration)
	r.claimer.SetKeep(configuration.Limits.KeepAnswers)
	longest := dispatcher.LongestRequest(configuration.Services)
	r.seater.SetSettling(longest)
	r.lender.SetServices(configuration.Services, longest)
	r.submitted.set(configuration.Jobs)
	r.exchanger.Nudge()
	r.inForce.Store(true)
	r.log.Info("configuration in force", "Generation", snapshot.Generation, "Evacuated", configuration.Evacuated)
	if evacuated := configuration.Evacuates(r.settings.DataCentre); r.evacuated.Swap(evacuated) != evacuated {
		r.log.Info("data centre evacuated", "DataCentre", r.settings.DataCentre, "Evacuated", evacuated)
		select {
		case r.evacuatedDue <- struct{}{}:
		default: // it is looked at anyway
		}
	}
}

// rules picks the policies that a configuration names; loader has checked them.
func rules(configuration cottonlanding.Configuration) scheduler.Rules {
	placement, _ := placer.Catalog.Get(configuration.Policies.Placement)
	eviction, _ := evictor.Catalog.Get(configuration.Policies.Eviction)
	admission, _ := orderer.Catalog.Get(configuration.Policies.Admission)
	return scheduler.Rules{
		Placement: placement,
		Eviction:  eviction,
		Admission: admission,
		Limits:    configuration.Limits,
		Teams:     configuration.Teams,
		Evacuated: configuration.Evacuated,
	}
}

func (r *Runner) followHosts() {
	ticker := time.NewTicker(refreshEvery.Duration())
	defer ticker.Stop()
	var executors []cottonlanding.ExecutorInfo
	for turn := 0; ; turn++ {
		if turn%hostsEvery == 0 {
			if hosts, err := r.hosts(); err == nil {
				r.owner.SetHosts(hosts.Workers)
				executors = hosts.Executors
			} else {
				r.hostFailures.Add(1)
			}
		}
		seated := r.seater.Seated()
		usable := executors
		if r.evacuated.Load() {
			usable = nil // what they run goes on; new requests go to peers elsewhere
		}
		r.dispatcher.SetExecutors(usable, r.settings.Seats, seated)
		r.supplied.Store(seated && len(usable) > 0)
		r.lender.SetLending(r.lends(), r.clock.Now())
		select {
		case <-r.ctx.Done():
			return
		case <-r.evacuatedDue:
		case <-ticker.C:
		}
	}
}

// living returns the live sessions, and whether work that one daemon does for all
// falls to this one.
func (r *Runner) living() (map[cottonlanding.SessionID]bool, bool) {
	view := r.observer.View()
	alive := make(map[cottonlanding.SessionID]bool, len(view.Live))
	for _, session := range view.Live {
		alive[session.ID] = true
	}
	return alive, fallsTo(view, "sweep") == r.registrar.Session().ID
}

// lends reports whether this daemon lends the slots of its data centre.
func (r *Runner) lends() bool {
	for _, summary := range r.owner.Summaries() {
		if summary.Cell == exchanger.LendingCell(r.settings.DataCentre) {
			return r.registrar.Valid()
		}
	}
	return false
}

func (r *Runner) hosts() (cottonlanding.Hosts, error) {
	ctx, cancel := context.WithTimeout(r.ctx, hostsTimeout.Duration())
	defer cancel()
	return r.outside.Hosts.Hosts(ctx, r.settings.DataCentre)
}

// Drain makes a planned stop: the host takes no new callers, hands over its
// cells and finishes what it has begun. It returns when that is done.
func (r *Runner) Drain() {
	r.drain()
	<-r.drained
}

func (r *Runner) drain() {
	r.drainOnce.Do(func() {
		defer close(r.drained)
		r.leaving.Store(true)
		r.registrar.Leave()
		r.log.Info("draining")
		ctx, cancel := context.WithTimeout(context.Background(), releaseWait.Duration())
		defer cancel()
		if err := r.owner.Drain(ctx); err != nil {
			r.log.Warn("cells were not handed over", "Error", err)
		}
		time.Sleep(balancerDelay.Duration())
		finish, cancelFinish := context.WithTimeout(context.Background(), finishWithin.Duration())
		defer cancelFinish()
		if err := r.dispatcher.Close(finish); err != nil {
			r.log.Warn("requests were cut off", "Error", err)
		}
		r.log.Info("drained")
	})
}

// Close drains and ends the daemon.
func (r *Runner) Close() {
	r.Drain()
	ctx, cancel := context.WithTimeout(context.Background(), releaseWait.Duration())
	defer cancel()
	if err := r.listener.Close(ctx); err != nil {
		r.log.Warn("connections were cut off", "Error", err)
	}
	r.end(ctx)
	r.log.Info("stopped")
}

// abort ends a daemon that could not start.
func (r *Runner) abort() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = r.dispatcher.Close(ctx) // it has no calls
	r.end(ctx)
}

func (r *Runner) end(ctx context.Context) {
	r.cancel()
	r.duties.Wait()
	r.borrower.Close()
	r.exchanger.Close()
	r.messenger.Close(ctx)
	r.sweeper.Close()
	r.claimer.Close()
	r.follower.Close()
	r.observer.Close()
	r.claims.Close(ctx)
	r.decisions.Close(ctx)
	r.owner.Close()
	if err := r.seater.Close(ctx); err != nil {
		r.log.Warn("seat", "Error", err)
	}
	if err := r.registrar.Close(ctx); err != nil {
		r.log.Warn("session", "Error", err)
	}
	if err := r.metrics.Close(); err != nil {
		r.log.Warn("metrics", "Error", err)
	}
}

// Apply puts the first configuration in force.
func (r *Runner) Apply(ctx context.Context, text []byte) error {
	_, err := r.follower.Apply(ctx, text, 0)
	return err
}
