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

// An owner that is killed is known to be gone once its beat has stood still for its time to live, which is long while
// the table is slow. Its host's kernel tells at once: it ends the connections of a process, and refuses new
// ones. So some hosts keep a call open at each owner, which costs nothing while it lasts. A process that is
// frozen or cut off ends no connection; its beats tell.

const (
	// watchersPerOwner is how many other owners watch one.
	watchersPerOwner = 2
	// watchRetryInterval is the pause after a call that has ended although its owner goes on.
	watchRetryInterval = holderPoll
)

// ownerWatch is the watch of a host over the process that owns a cell.
type ownerWatch struct {
	version cottonlanding.Version
	cancel  context.CancelFunc
}

// updateWatches begins and ends watches after a change of who owns what.
func (g *Gateway) updateWatches() {
	g.watchesMu.Lock()
	defer g.watchesMu.Unlock()
	for _, p := range *g.participants.Load() {
		view := p.holder.View()
		wanted := p.shouldWatch(view) && !g.leaving()
		if p.ownerWatch != nil && (!wanted || p.ownerWatch.version != view.Version) {
			p.ownerWatch.cancel()
			p.ownerWatch = nil
		}
		if wanted && p.ownerWatch == nil {
			ctx, cancel := context.WithCancel(g.lifetime)
			p.ownerWatch = &ownerWatch{version: view.Version, cancel: cancel}
			go p.watch(ctx, view)
		}
	}
}

// shouldWatch reports whether this host shouldWatch the owner of the cell: with one cell hosts that would be among the first
// to take it, with several the next other owners in the order of cells. A host that has just started
// knows nothing of when owners wrote their last beats, and shouldWatch all.
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

// isNextOwner reports whether this host is among the next other owners after a cell.
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

// watch waits until the process of the owner has ended, and tells the holder.
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

// watchOutcome is what the end of a watch shows of the process that was watched.
type watchOutcome int

const (
	// watchInconclusive: this host has given up the connection, or the process doesn't offer the call.
	watchInconclusive watchOutcome = iota
	// connectionBroken: the connection has ended, or can't be made.
	connectionBroken
	// otherProcess: another process has answered at the address.
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
