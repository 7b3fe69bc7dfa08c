package cottonlanding

// JobKind says how the tasks of a job are run.
type JobKind string

// The kinds of job.
const (
	// Batch tasks run to completion and can be evicted.
	Batch JobKind = "Batch"
	// Watch tasks are latency-critical: they start before batch tasks and are never evicted.
	Watch JobKind = "Watch"
)

// JobSpec is a job as submitted by its client.
type JobSpec struct {
	Name       JobName    `yaml:"Name"`
	Team       Team       `yaml:"Team"`
	Kind       JobKind    `yaml:"Kind"`
	DataCentre DataCentre `yaml:"DataCentre,omitempty"`
	Tasks      int        `yaml:"Tasks"`
	Resources  Resources  `yaml:"Resources"`
	RunTime    Millis     `yaml:"RunTime"`
	Urgent     bool       `yaml:"Urgent,omitempty"`
	Payload    string     `yaml:"Payload,omitempty"`
}

// JobState is the state of a job.
type JobState string

// The states of a job. All but JobAccepted are final.
const (
	JobAccepted  JobState = "Accepted"
	JobDone      JobState = "Done"
	JobFailed    JobState = "Failed"
	JobCancelled JobState = "Cancelled"
)

// Final reports whether the state never changes again.
func (s JobState) Final() bool { return s != JobAccepted }

// Job is an accepted job.
type Job struct {
	Spec  JobSpec
	Cell  CellID
	State JobState
	// Reason says why the job failed.
	Reason string
}

// TaskState is the state of a task as committed by the owner of its cell.
type TaskState string

// The states of a task. The last three are final.
const (
	TaskQueued    TaskState = "Queued"
	TaskAssigned  TaskState = "Assigned"
	TaskDone      TaskState = "Done"
	TaskFailed    TaskState = "Failed"
	TaskCancelled TaskState = "Cancelled"
)

// Final reports whether the state never changes again.
func (s TaskState) Final() bool {
	return s == TaskDone || s == TaskFailed || s == TaskCancelled
}

// Task is a task as committed by the owner of its cell.
type Task struct {
	ID            TaskID
	State         TaskState
	Attempt       Attempt
	Worker        WorkerID
	WorkerAddress Address
	// Incarnation is the life of the worker on which the attempt was placed.
	Incarnation Incarnation `json:",omitempty"`
	Checkpoint  ObjectName
	// FailedOn lists the worker of each failed attempt.
	FailedOn []WorkerID
	// Lost counts the lives of workers that ended before the task's run there was Outlived. A run of
	// ten seconds resets it. CrashRecord is the count for workflows.
	Lost int `json:",omitempty"`
	// Outlived says that the current run has lasted for longer than a task takes that crashes its
	// worker.
	Outlived  bool `json:",omitempty"`
	Evictions int
	Result    string
}

// JobStatus is a job with its tasks, as operators see it.
type JobStatus struct {
	Job   Job
	Tasks []Task
}
