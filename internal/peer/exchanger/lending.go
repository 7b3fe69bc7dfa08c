package exchanger

import (
	"context"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/peer/messenger"
	"github.com/cottonlanding/cottonlanding/internal/peer/wire"
	"github.com/cottonlanding/cottonlanding/internal/placement/owner"
	"github.com/cottonlanding/cottonlanding/internal/request/lender"
)

// LendingCell is the cell whose owner lends the slots of its data centre.
func LendingCell(dataCentre cottonlanding.DataCentre) cottonlanding.CellID {
	return owner.CellName(dataCentre, 0)
}

// Borrow implements borrower.Lenders.
func (e *Exchanger) Borrow(ctx context.Context, report lender.Report) ([]lender.Loan, error) {
	address, err := e.ownerOf(LendingCell(e.deps.DataCentre))
	if err != nil {
		return nil, err
	}
	if address == "" {
		return e.deps.Lender.Borrow(report, e.deps.Clock.Now())
	}
	client, err := e.deps.Messenger.Peer(address)
	if err != nil {
		return nil, err
	}
	request := &wire.BorrowRequest{Session: string(report.Session), Sequence: report.Sequence}
	for _, demand := range report.Demands {
		request.Demands = append(request.Demands, &wire.Demand{
			Service: string(demand.Service), Want: int64(demand.Want), Using: int64(demand.Using),
		})
	}
	reply, err := client.Borrow(ctx, request)
	if err != nil {
		return nil, messenger.Error(err)
	}
	var loans []lender.Loan
	for _, loan := range reply.GetLoans() {
		loans = append(loans, lender.Loan{Service: cottonlanding.ServiceName(loan.GetService()), Units: int(loan.GetUnits())})
	}
	return loans, messenger.ErrorOf(reply.GetCode(), reply.GetDetail())
}

// Borrow implements wire.PeerServer.
func (s *Server) Borrow(_ context.Context, request *wire.BorrowRequest) (*wire.BorrowReply, error) {
	parts := s.parts.Load()
	if parts == nil {
		return &wire.BorrowReply{Code: wire.Code_UNAVAILABLE, Detail: errStarting.Error()}, nil
	}
	report := lender.Report{Session: cottonlanding.SessionID(request.GetSession()), Sequence: request.GetSequence()}
	for _, demand := range request.GetDemands() {
		report.Demands = append(report.Demands, lender.Demand{
			Service: cottonlanding.ServiceName(demand.GetService()),
			Want:    int(demand.GetWant()),
			Using:   int(demand.GetUsing()),
		})
	}
	loans, err := parts.Exchanger.deps.Lender.Borrow(report, parts.Exchanger.deps.Clock.Now())
	reply := &wire.BorrowReply{Code: messenger.CodeOf(err), Detail: detail(err)}
	for _, loan := range loans {
		reply.Loans = append(reply.Loans, &wire.Loan{Service: string(loan.Service), Units: int64(loan.Units)})
	}
	return reply, nil
}
