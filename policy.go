package cottonlanding

// TaskView describes a task to policies.
type TaskView struct {
	ID        TaskID
	Team      Team
	Kind      JobKind
	Urgent    bool
	Resources Resources
	// Queued is when the task became ready to run.
	Queued Millis
	// Ran is how long the current attempt has run since its last checkpoint.
	Ran Millis
	// Evictions counts how often the task was evicted.
	Evictions int
}

// WorkerView describes a worker to policies.
type WorkerView struct {
	ID       WorkerID
	Rack     Rack
	Capacity Resources
	Free     Resources
	// Tasks counts the tasks on the worker.
	Tasks int
	// Services lists the services with an executor on the worker.
	Services []ServiceName
}

// NoWorker is the result of a PlacementPolicy that picks no worker.
const NoWorker = -1

// PlacementPolicy picks a worker for a task.
type PlacementPolicy interface {
	// Place returns the index of the picked worker, or NoWorker. The task fits all candidates; the
	// cell checks the choice nevertheless.
	Place(task TaskView, candidates []WorkerView) int
}

// EvictionPolicy picks the tasks to be preempted.
type EvictionPolicy interface {
	// Order sorts victims in place, the first to be evicted first.
	Order(victims []TaskView)
}

// TeamUsage is what a client account uses of the cell, and its weight.
type TeamUsage struct {
	Team   Team
	Weight float64
	// Use is the processor capacity that the account's tasks hold.
	Use Millicores
}

// AdmissionPolicy determines the order in which queued tasks are placed.
type AdmissionPolicy interface {
	// Order sorts the queued tasks in place, the first to be placed first.
	Order(queued []TaskView, teams []TeamUsage)
}

// LightWeight is the maximum weight at which a filling image hardly disturbs a serving one: pairs have
// weights of 0.1 to 0.3, or of 1 to 4.
const LightWeight = 0.5

// PairView describes how much a filling image disturbs a serving one, as far as is known.
type PairView struct {
	// Weight is by how much a filling task that uses a whole worker increases the utilization of the
	// serving task.
	Weight float64
	// StandardError is the standard error of Weight.
	StandardError float64
}

// DisturbancePolicy decides how much a filling image is assumed to disturb a serving one while little is
// known of the pair.
type DisturbancePolicy interface {
	// Weight returns the weight to plan with. It is never negative.
	Weight(pair PairView) float64
	// Untried reports whether the pair has to be tried. A worker gets one task of untried pairs at a
	// time.
	Untried(pair PairView) bool
}

// ServingView describes a serving task.
type ServingView struct {
	LatencyTarget Millis
	// IdleTail is the tail latency of the task when idle.
	IdleTail Millis
	// Spread is the standard deviation of samples of the utilization around the forecast.
	Spread float64
}

// SampleView describes a serving task when its utilization was sampled.
type SampleView struct {
	// Utilization is the sample, Goal the result of HeadroomPolicy.Goal.
	Utilization, Goal float64
	// Load is the utilization by the task's own users that is forecast for now, PeakLoad the largest until the next
	// sample. Added is by how much the filling tasks beside it raise the utilization now.
	Load, PeakLoad, Added float64
}

// HeadroomPolicy decides how far filling tasks that disturb may raise the utilization of a serving task. Tasks of light
// pairs (LightWeight) are limited only by LimitsStarts.
type HeadroomPolicy interface {
	// Goal returns the utilization up to which filling tasks may raise that of the task.
	Goal(task ServingView) float64
	// Budget returns by how much filling tasks may raise the utilization until the next sample.
	Budget(sample SampleView) float64
	// PlacementSpan returns for how long a budget must last where a task that is expected to take that time is placed.
	PlacementSpan(expected Millis) Millis
	// PlacementWeight returns the weight to place a pair with; planned is the one that paces are planned with.
	PlacementWeight(planned float64, pair PairView) float64
	// LimitsStarts reports whether runs that no sample covers yet count at full pace and placement weight, and whether
	// the budget limits the starts of light pairs too.
	LimitsStarts() bool
}

// MixView describes a worker with serving tasks on which one of another image may be placed. A worker
// tolerates the filling images that hardly disturb its serving tasks (LightWeight).
type MixView struct {
	// Tolerated counts the filling images that the worker tolerates, ToleratedAfter those that it would
	// tolerate with the new task.
	Tolerated, ToleratedAfter int
}

// MixingPolicy picks the workers on which serving tasks of several images may be mixed.
type MixingPolicy interface {
	// Narrow returns the indices of the workers to choose from, at least one.
	Narrow(workers []MixView) []int
}

// CellView describes the free capacity of a cell.
type CellView struct {
	Cell CellNumber
	// Usable says that the cell has an owner that can reach workers.
	Usable bool
	// Free is the fraction of the cell's processors that no task holds, less what waits for room.
	// Spare is the fraction that is expected to be unused, less what filling tasks wait for.
	Free, Spare float64
}

// ReferralPolicy picks the cell of a workflow.
type ReferralPolicy interface {
	// Refer returns a cell other than the home of the workflow, and whether the workflow is to go
	// there.
	Refer(workflow Workflow, home CellView, others []CellView) (CellNumber, bool)
}

// DelegationPolicy picks the cell that runs a lasting task for which its own cell has no room.
type DelegationPolicy interface {
	// Delegate returns one of the candidates, each of which has room for the task, and whether the
	// task is to go there.
	Delegate(task TaskRef, candidates []CellView) (CellNumber, bool)
}

// RankView describes an unfinished workflow by the expected run times of its steps: its client's
// estimates, or what was learnt of them.
type RankView struct {
	// Age is the time since the workflow was accepted, Objective the time in which it should be done;
	// zero is none.
	Age, Objective Millis
	// ChainLeft is the duration of the longest chain of unfinished tasks, Slack how much longer the
	// workflow may wait and still meet its objective, negative if it can't.
	ChainLeft, Slack Millis
	// Work is the work of all its tasks in millicore-milliseconds, Left that of the unfinished ones,
	// MeanWork the mean over the workflows of its queue.
	Work, Left, MeanWork float64
}

// Rank orders workflows: lower classes go first, and within a class lower scores.
type Rank struct {
	Class int
	Score float64
}

// RankingPolicy orders the waiting workflows of one priority.
type RankingPolicy interface {
	Rank(view RankView) Rank
}

// OverloadView describes a submitted workflow that no cell knows yet, and when it could be done.
type OverloadView struct {
	// Now is the present instant, as in OverloadState.
	Now Millis
	// Forecast is the time from now until the workflow could be done, Objective the time in which it should be.
	Forecast, Objective Millis
	// Position is the fraction of the remaining work of its kind that ranks before the workflow.
	Position float64
	// Jitter is a number from 0 to 1 that depends only on the id of the workflow.
	Jitter float64
}

// OverloadState is what an OverloadPolicy keeps for a queue from one submission to the next. Its zero value is that of
// a queue without submissions. A zero instant means never.
type OverloadState struct {
	// Rejecting says that the queue rejects workflows.
	Rejecting bool
	// OverSince is since when forecasts have exceeded their limits, LastOverAt when one last did.
	OverSince, LastOverAt Millis
	// LastAcceptedAt is when a workflow was last accepted.
	LastAcceptedAt Millis
}

// OverloadDecision is the decision about a submitted workflow.
type OverloadDecision struct {
	// Reject says that the workflow is not accepted.
	Reject bool
	// RetryAfter is when a rejected workflow should be submitted again, from now.
	RetryAfter Millis
	// Limit is what the forecast was compared with; zero if it was compared with nothing.
	Limit Millis
	// State is the new state of the queue.
	State OverloadState
}

// OverloadPolicy decides which workflows are rejected because they couldn't be done while they are of use.
type OverloadPolicy interface {
	Decide(view OverloadView, state OverloadState) OverloadDecision
}
