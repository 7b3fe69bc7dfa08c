package cottonlanding

// TaskView is what policies see of a task.
type TaskView struct {
	ID        TaskID
	Team      Team
	Kind      JobKind
	Urgent    bool
	Resources Resources
	// Queued is when the task became ready to run.
	Queued Millis
	// Ran is how long the present attempt has run since its last checkpoint.
	Ran Millis
	// Evictions counts how often the task was evicted.
	Evictions int
}

// WorkerView is what policies see of a worker.
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

// NoWorker is a PlacementPolicy's answer when it picks none.
const NoWorker = -1

// PlacementPolicy picks a worker for a task.
type PlacementPolicy interface {
	// Place returns the index of the picked worker or NoWorker. All candidates
	// can carry the task; the cell checks the pick all the same.
	Place(task TaskView, candidates []WorkerView) int
}

// EvictionPolicy picks the tasks that give way.
type EvictionPolicy interface {
	// Order sorts victims in place, the first to be evicted first.
	Order(victims []TaskView)
}

// TeamUsage is a team's use of the cell and its weight.
type TeamUsage struct {
	Team   Team
	Weight float64
	// Use is the processor capacity that the team's tasks hold.
	Use Millicores
}

// AdmissionPolicy picks the order in which queued tasks are placed.
type AdmissionPolicy interface {
	// Order sorts the queued tasks in place, the first to be placed first.
	Order(queued []TaskView, teams []TeamUsage)
}

// LightWeight is the weight up to which a filling image hardly disturbs a serving one:
// pairs were seen to have weights of 0.1 to 0.3, or of 1 to 4.
const LightWeight = 0.5

// PairView is what is known of how much a filling image disturbs a serving one.
type PairView struct {
	// Weight is by how much a filling task that uses a whole worker makes the serving
	// task busier, as far as is known.
	Weight float64
	// StandardError is the standard error of Weight.
	StandardError float64
}

// DisturbancePolicy decides what is assumed of pairs of images while little is known
// of them.
type DisturbancePolicy interface {
	// Weight returns the weight by which to plan; it is never negative.
	Weight(pair PairView) float64
	// Untried reports whether the pair has to be tried: a worker gets one task of
	// untried pairs at a time.
	Untried(pair PairView) bool
}

// MixView is what becomes of a worker if a serving task of another image joins those
// that it has.
type MixView struct {
	// Tolerated counts the filling images that hardly disturb the serving tasks there,
	// ToleratedAfter those that would not disturb the new one either.
	Tolerated, ToleratedAfter int
}

// MixingPolicy picks the workers on which serving tasks of several images may come together.
type MixingPolicy interface {
	// Narrow returns the indices of the workers to choose from, at least one of them.
	Narrow(workers []MixView) []int
}

// CellView is what is known of a cell's room.
type CellView struct {
	Cell CellNumber
	// Usable says that the cell has an owner that can reach workers.
	Usable bool
	// Free is the part of its processors that no task holds, less what waits for room;
	// Spare is the part that is expected to be unused, less what filling tasks wait for.
	Free, Spare float64
}

// ReferralPolicy picks the cell that keeps a workflow.
type ReferralPolicy interface {
	// Refer returns another cell for a workflow than its home, and whether there is one.
	Refer(workflow Workflow, home CellView, others []CellView) (CellNumber, bool)
}

// DelegationPolicy picks the cell that runs a lasting task for which its own cell has no room.
type DelegationPolicy interface {
	// Delegate returns one of the candidates, each of which has room for the task, and whether
	// the task is to go there.
	Delegate(task TaskRef, candidates []CellView) (CellNumber, bool)
}

// RankView is what is known of a workflow that isn't done, by its client's estimates.
type RankView struct {
	// Age is how long ago the workflow was accepted, Objective in which time it should be
	// done; zero is none.
	Age, Objective Millis
	// ChainLeft is the longest chain of tasks that aren't done, Slack how much longer the
	// workflow may wait to be done in its time; negative for one that can't be any more.
	ChainLeft, Slack Millis
	// Work is the work of all its tasks in millicore-milliseconds, Left that of those that
	// aren't done, MeanWork the mean of the workflows of its queue.
	Work, Left, MeanWork float64
}

// Rank orders workflows: lower classes go first, within a class lower scores.
type Rank struct {
	Class int
	Score float64
}

// RankingPolicy orders the workflows of one priority that wait for room.
type RankingPolicy interface {
	Rank(view RankView) Rank
}
