// Package auditor compares what callers were told with what executors ran.
package auditor

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/stand/executor"
	"github.com/cottonlanding/cottonlanding/internal/web/caller"
)

// Finding is what the ledgers say of a run.
type Finding struct {
	// Runs counts requests of the run in the ledgers.
	Runs int
	// Doubled counts keys that ran more than once, Denied those that ran though
	// the caller was told NotRun, and Lost those that did not though told Ran.
	Doubled int
	Denied  int
	Lost    int
	// Peak is the most requests that any executor had at a time, Refused those
	// that executors turned away beyond their slots.
	Peak    int
	Refused int
}

// Good reports whether every outcome was true.
func (f Finding) Good() bool { return f.Doubled+f.Denied+f.Lost == 0 }

// Audit reads the ledgers of the executors.
func Audit(ctx context.Context, caller *caller.Caller, executors []cottonlanding.Address, outcomes map[string]cottonlanding.Outcome) (Finding, error) {
	var finding Finding
	runs := make(map[string]int)
	for _, address := range executors {
		ledger, err := read(ctx, caller, address)
		if err != nil {
			return finding, err
		}
		finding.Peak = max(finding.Peak, ledger.Peak)
		finding.Refused += ledger.Refused
		for _, run := range ledger.Runs {
			if _, ours := outcomes[run.Key]; ours {
				runs[run.Key]++
				finding.Runs++
			}
		}
	}
	for key, outcome := range outcomes {
		finding.judge(outcome, runs[key])
	}
	return finding, nil
}

func (f *Finding) judge(outcome cottonlanding.Outcome, runs int) {
	switch {
	case runs > 1:
		f.Doubled++
	case outcome == cottonlanding.NotRun && runs > 0:
		f.Denied++
	case outcome == cottonlanding.Ran && runs == 0:
		f.Lost++
	}
}

func read(ctx context.Context, caller *caller.Caller, address cottonlanding.Address) (executor.Ledger, error) {
	var ledger executor.Ledger
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(address)+executor.LedgerPath, nil)
	if err != nil {
		return ledger, fmt.Errorf("build request: %w", err)
	}
	response, err := caller.Do(ctx, request)
	if err != nil {
		return ledger, fmt.Errorf("ledger of %s: %w", address, err)
	}
	if err := json.Unmarshal(response.Body, &ledger); err != nil {
		return ledger, fmt.Errorf("ledger of %s: %w", address, err)
	}
	return ledger, nil
}
