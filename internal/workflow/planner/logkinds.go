package planner

import (
	"log/slog"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/log/writer"
)

// kindLogs holds the loggers of a cell by subject.
type kindLogs struct {
	general *slog.Logger
	// tasks is for the regular course of workflows and of tasks that end.
	tasks *slog.Logger
	// lasting is for lasting tasks that do not run, in few lines.
	lasting *slog.Logger
}

func newKindLogs(log *slog.Logger) kindLogs {
	return kindLogs{general: log, tasks: writer.Of(log, writer.Tasks), lasting: writer.Of(log, writer.Lasting)}
}

// forStep returns the logger for lines about single runs of a step.
func (l kindLogs) forStep(step cottonlanding.Step) *slog.Logger {
	if step.Lasting {
		return l.general
	}
	return l.tasks
}

// forEnd returns the logger for the end of a workflow, which is part of the regular course if it succeeded.
func (l kindLogs) forEnd(state cottonlanding.WorkflowState) *slog.Logger {
	if state == cottonlanding.WorkflowSucceeded {
		return l.tasks
	}
	return l.general
}
