package gateway

import (
	"context"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/coordination/holder"
	"github.com/cottonlanding/cottonlanding/internal/duty/pauser"
	"github.com/cottonlanding/cottonlanding/internal/peer/wire"
)

// Heartbeats reveal a killed owner only after their time to live, which is long while the table is slow. The kernel of
// its host closes the connections of an ended process at once, and refuses new ones. Therefore some hosts keep a call
// open at each owner, which costs nothing meanwhile. A frozen or partitioned process closes no connection; it is
// detected by its heartbeats.

const (
	// watchersPerOwner is the number of other owners that watch an owner if there are several cells.
	watchersPerOwner = 2
	// watchRetryInterval is the delay before a watch that ended although its owner runs is started again.
	watchRetryInterval = holderPoll
)

// ownerWatch is a host's watch over the process that owns a cell.
type ownerWatch struct {
	version cottonlanding.Version
	cancel  context.CancelFunc
}

// updateWatches starts and stops watches after a change of owners.
func (g *Gateway) updateWatches() {
	g.watchesMu.Lock()
	defer g.watchesMu.Unlock()
	for _, p := range *g.participants.Load() {
		view := p.holder.View()
		mustWatch := p.shouldWatch(view) && !g.leaving()
		if p.ownerWatch != nil && (!mustWatch || p.ownerWatch.version != view.Version) {
			p.ownerWatch.cancel()
			p.ownerWatch = nil
		}
		if mustWatch && p.ownerWatch == nil {
			ctx, cancel := context.WithCancel(g.lifetime)
			p.ownerWatch = &ownerWatch{version: view.Version, cancel: cancel}
			go p.watch(ctx, view)
		}
	}
}

// shouldWatch reports whether this host watches the owner of the cell. With one cell, hosts with at least the
// owner's share watch it, since these are among the first to take over; with several cells, the next owners in the
// order of cells do. A host that isn't ready doesn't know the age of heartbeats yet, and watches all owners.
func (p *participant) shouldWatch(view holder.View) bool {
	self := p.gateway.settings.Self
	switch {
	case view.Owner.ID == "" || view.Owner.Member == self:
		return false
	case !p.gateway.ready.Load():
		return true
	case p.gateway.cells() == 1:
		return view.Owner.Share <= self.Share
	}
	return p.gateway.isNextOwner(p.cell, view.Owner.ID)
}

// isNextOwner reports whether this host is among the next watchersPerOwner other owners in the order of cells.
func (g *Gateway) isNextOwner(cell cottonlanding.CellNumber, owner cottonlanding.SessionID) bool {
	participants := *g.participants.Load()
	seen := make(map[cottonlanding.SessionID]bool)
	for step := 1; step < len(participants) && len(seen) < watchersPerOwner; step++ {
		next := participants[(int(cell)+step)%len(participants)].holder.View().Owner
		if next.Member == g.settings.Self {
			return true
		}
		if next.ID != "" && next.ID != owner {
			seen[next.ID] = true
		}
	}
	return false
}

// watch waits until the owner's process has ended, and reports that to the holder.
func (p *participant) watch(ctx context.Context, view holder.View) {
	for ctx.Err() == nil {
		outcome := p.awaitProcessEnd(ctx, view.Owner.Member)
		if ctx.Err() != nil {
			return
		}
		if outcome == otherProcess || outcome == connectionBroken && p.gateway.messenger.Ended(ctx, view.Owner.Address) {
			p.holder.MarkOwnerEnded(view.Version)
			return
		}
		pauser.Pause(ctx, watchRetryInterval)
	}
}

// watchOutcome is what the end of a watch says about the process.
type watchOutcome int

const (
	// watchInconclusive: this host has closed the connection, or the process doesn't support the call.
	watchInconclusive watchOutcome = iota
	// connectionBroken: the connection was closed, or can't be made.
	connectionBroken
	// otherProcess: another process answered at the address.
	otherProcess
)

// awaitProcessEnd keeps a call open at a process until the call ends.
func (p *participant) awaitProcessEnd(ctx context.Context, owner holder.Member) watchOutcome {
	connection, err := p.gateway.messenger.Connection(owner.Address)
	if err != nil {
		return watchInconclusive
	}
	stream, err := wire.NewWorkflowsClient(connection).Watch(ctx, &wire.ProcessName{Id: string(owner.ID)})
	if err != nil {
		return outcomeOf(err)
	}
	for {
		reply, err := stream.Recv()
		if err != nil {
			return outcomeOf(err)
		}
		if reply.GetOther() {
			return otherProcess
		}
	}
}

func outcomeOf(err error) watchOutcome {
	if status.Code(err) == codes.Unavailable {
		return connectionBroken
	}
	return watchInconclusive
}

// Watch implements wire.WorkflowsServer.
func (s *peerServer) Watch(request *wire.ProcessName, stream wire.Workflows_WatchServer) error {
	if request.GetId() != string(s.gateway.settings.Self.ID) {
		return stream.Send(&wire.WatchReply{Other: true})
	}
	select {
	case <-stream.Context().Done():
	case <-s.gateway.lifetime.Done():
	}
	return nil
}
