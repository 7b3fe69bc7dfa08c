package runner

import (
	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/coordination/committer"
	"github.com/cottonlanding/cottonlanding/internal/coordination/follower"
	"github.com/cottonlanding/cottonlanding/internal/coordination/observer"
	"github.com/cottonlanding/cottonlanding/internal/coordination/registrar"
	"github.com/cottonlanding/cottonlanding/internal/peer/exchanger"
	"github.com/cottonlanding/cottonlanding/internal/placement/owner"
	"github.com/cottonlanding/cottonlanding/internal/request/borrower"
	"github.com/cottonlanding/cottonlanding/internal/request/claimer"
	"github.com/cottonlanding/cottonlanding/internal/request/dispatcher"
	"github.com/cottonlanding/cottonlanding/internal/request/lender"
	"github.com/cottonlanding/cottonlanding/internal/request/seater"
)

// State is the dump of a daemon.
type State struct {
	DataCentre cottonlanding.DataCentre
	Ready      bool
	Leaving    bool
	// Evacuated says that nothing new starts in this host's data centre.
	Evacuated bool
	Session   registrar.State
	Observer  observer.State
	Follower  follower.State
	Decisions committer.State
	ClaimLane committer.State
	Claims    claimer.State
	Seat      seater.State
	Lender    lender.State
	Borrower  borrower.State
	Owner     owner.State
	Services  []dispatcher.ServiceState
	Peers     []exchanger.PeerState
	// HostListFailures counts reads of the host list that failed.
	HostListFailures int64
}

// State returns the dump.
func (r *Runner) State() State {
	return State{
		DataCentre:       r.settings.DataCentre,
		Ready:            r.Ready(),
		Leaving:          r.leaving.Load(),
		Evacuated:        r.evacuated.Load(),
		Session:          r.registrar.State(),
		Observer:         r.observer.State(),
		Follower:         r.follower.State(),
		Decisions:        r.decisions.State(),
		ClaimLane:        r.claims.State(),
		Claims:           r.claimer.State(),
		Seat:             r.seater.State(),
		Lender:           r.lender.State(),
		Borrower:         r.borrower.State(),
		Owner:            r.owner.State(),
		Services:         r.dispatcher.State(),
		Peers:            r.exchanger.State(),
		HostListFailures: r.hostFailures.Load(),
	}
}
