package gateway

import (
	"context"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/discovery/relayer"
	"github.com/cottonlanding/cottonlanding/internal/peer/messenger"
	"github.com/cottonlanding/cottonlanding/internal/peer/wire"
)

// firstCell is the cell whose owner writes the layout and reads the list of workers for the owners of all other cells.
const firstCell cottonlanding.CellNumber = 0

// listSource returns the host that reads the list of workers for this one. It is nil if this host reads the list
// itself: as the owner of the first cell, or while that has no live owner.
func (g *Gateway) listSource() relayer.Source {
	first := g.participant(firstCell)
	if first == nil || first.isOwner() {
		return nil
	}
	view := first.holder.View()
	if view.Owner.ID == "" || view.Owner.Member == g.settings.Self || view.BeatAge > maxHeartbeatAge {
		return nil
	}
	return peerSource{messenger: g.messenger, owner: view.Owner.ID, address: view.Owner.Address}
}

// peerSource reads the list of workers from another host. It implements relayer.Source.
type peerSource struct {
	messenger *messenger.Messenger
	owner     cottonlanding.SessionID
	address   cottonlanding.Address
}

// News returns the rows of the list that changed after a version, read at the other host. It implements relayer.Source.
func (p peerSource) News(ctx context.Context, after cottonlanding.Version) (relayer.Response, error) {
	connection, err := p.messenger.Connection(p.address)
	if err != nil {
		return relayer.Response{}, err
	}
	answer, err := wire.NewListsClient(connection).News(ctx, &wire.ListQuestion{After: uint64(after)})
	if err != nil {
		p.messenger.Drop(p.address, connection)
		return relayer.Response{}, messenger.Error(err)
	}
	if err := messenger.ErrorOf(answer.GetCode(), answer.GetDetail()); err != nil {
		return relayer.Response{}, err
	}
	return responseFromWire(answer), nil
}

func responseFromWire(answer *wire.ListAnswer) relayer.Response {
	out := relayer.Response{
		News: cottonlanding.FeedReading{Whole: answer.GetWhole(), Version: cottonlanding.Version(answer.GetVersion())},
		Age:  cottonlanding.Millis(answer.GetAgeMs()),
	}
	for _, row := range answer.GetRows() {
		out.News.Rows = append(out.News.Rows, cottonlanding.FeedRow{
			Key:     row.GetKey(),
			Value:   row.GetValue(),
			Version: cottonlanding.Version(row.GetVersion()),
			Deleted: row.GetDeleted(),
		})
	}
	return out
}

func responseToWire(response relayer.Response) *wire.ListAnswer {
	out := &wire.ListAnswer{
		Whole:   response.News.Whole,
		Version: uint64(response.News.Version),
		AgeMs:   int64(response.Age),
	}
	for _, row := range response.News.Rows {
		out.Rows = append(out.Rows, &wire.ListRow{
			Key:     row.Key,
			Value:   row.Value,
			Version: uint64(row.Version),
			Deleted: row.Deleted,
		})
	}
	return out
}

// listServer serves the list of workers to other hosts.
type listServer struct {
	wire.UnimplementedListsServer
	source relayer.Source
}

// News answers with the rows of the list that changed after a version. It implements wire.ListsServer.
func (s *listServer) News(ctx context.Context, question *wire.ListQuestion) (*wire.ListAnswer, error) {
	response, err := s.source.News(ctx, cottonlanding.Version(question.GetAfter()))
	if err != nil {
		return &wire.ListAnswer{Code: messenger.CodeOf(err), Detail: err.Error()}, nil
	}
	return responseToWire(response), nil
}
