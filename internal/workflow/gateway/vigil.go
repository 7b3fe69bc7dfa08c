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
	// vigilPause is the pause after a call that has ended although its owner goes on.
	vigilPause = holderPoll
)

// vigil is the watch of a host over the process that owns a cell.
type vigil struct {
	version cottonlanding.Version
	cancel  context.CancelFunc
}

// reviewVigils begins and ends watches after a change of who owns what.
func (g *Gateway) reviewVigils() {
	g.vigilsMu.Lock()
	defer g.vigilsMu.Unlock()
	for _, s := range *g.seats.Load() {
		view := s.holder.View()
		wanted := s.watches(view) && !g.leaving()
		if s.vigil != nil && (!wanted || s.vigil.version != view.Version) {
			s.vigil.cancel()
			s.vigil = nil
		}
		if wanted && s.vigil == nil {
			ctx, cancel := context.WithCancel(g.life)
			s.vigil = &vigil{version: view.Version, cancel: cancel}
			go s.watch(ctx, view)
		}
	}
}

// watches reports whether this host watches the owner of the cell: with one cell hosts that would be among the first
// to take it, with several the next other owners in the order of cells. A host that has just started
// knows nothing of when owners wrote their last beats, and watches all.
func (s *seat) watches(view holder.View) bool {
	self := s.gateway.settings.Self
	switch {
	case view.Owner.ID == "" || view.Owner.Member == self:
		return false
	case !s.gateway.ready.Load():
		return true
	case s.gateway.cells() == 1:
		return view.Owner.Share <= self.Share
	}
	return s.gateway.follows(s.cell, view.Owner.ID)
}

// follows reports whether this host is among the next other owners after a cell.
func (g *Gateway) follows(cell cottonlanding.CellNumber, owner cottonlanding.SessionID) bool {
	seats := *g.seats.Load()
	seen := make(map[cottonlanding.SessionID]bool)
	for step := 1; step < len(seats) && len(seen) < watchersPerOwner; step++ {
		next := seats[(int(cell)+step)%len(seats)].holder.View().Owner
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
func (s *seat) watch(ctx context.Context, view holder.View) {
	for ctx.Err() == nil {
		seen := s.awaitEnd(ctx, view.Owner.Member)
		if ctx.Err() != nil {
			return
		}
		if seen == otherProcess || seen == connectionBroken && s.gateway.messenger.Ended(ctx, view.Owner.Address) {
			s.holder.MarkOwnerEnded(view.Version)
			return
		}
		pauser.Pause(ctx, vigilPause)
	}
}

// sighting is what the end of a watch shows of the process that was watched.
type sighting int

const (
	// nothingSeen: this host has given up the connection, or the process doesn't offer the call.
	nothingSeen sighting = iota
	// connectionBroken: the connection has ended, or can't be made.
	connectionBroken
	// otherProcess: another process has answered at the address.
	otherProcess
)

// awaitEnd keeps a call open at a process until the call ends.
func (s *seat) awaitEnd(ctx context.Context, owner holder.Member) sighting {
	connection, err := s.gateway.messenger.Connection(owner.Address)
	if err != nil {
		return nothingSeen
	}
	stream, err := wire.NewWorkflowsClient(connection).Watch(ctx, &wire.ProcessName{Id: string(owner.ID)})
	if err != nil {
		return sightingOf(err)
	}
	for {
		reply, err := stream.Recv()
		if err != nil {
			return sightingOf(err)
		}
		if reply.GetOther() {
			return otherProcess
		}
	}
}

func sightingOf(err error) sighting {
	if status.Code(err) == codes.Unavailable {
		return connectionBroken
	}
	return nothingSeen
}

// Watch implements wire.WorkflowsServer.
func (s *peerServer) Watch(request *wire.ProcessName, stream wire.Workflows_WatchServer) error {
	if request.GetId() != string(s.gateway.settings.Self.ID) {
		return stream.Send(&wire.WatchReply{Other: true})
	}
	select {
	case <-stream.Context().Done():
	case <-s.gateway.life.Done():
	}
	return nil
}
