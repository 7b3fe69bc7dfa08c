package exchanger

import (
	"context"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/peer/messenger"
	"github.com/cottonlanding/cottonlanding/internal/request/dispatcher"
)

// SubmitTo is Exchanger.submitTo, which needs only a messenger.
func SubmitTo(ctx context.Context, m *messenger.Messenger, address cottonlanding.Address, cell cottonlanding.CellID, spec cottonlanding.JobSpec) error {
	return (&Exchanger{deps: Dependencies{Messenger: m}}).submitTo(ctx, address, cell, spec)
}

// ForwardTo is Exchanger.forwardTo, which needs only a messenger.
func ForwardTo(ctx context.Context, m *messenger.Messenger, address cottonlanding.Address, call dispatcher.Call) (dispatcher.Reply, error) {
	return (&Exchanger{deps: Dependencies{Messenger: m}}).forwardTo(ctx, address, call)
}

// SummaryOfCell is cellSummary for golden tests.
var SummaryOfCell = cellSummary
