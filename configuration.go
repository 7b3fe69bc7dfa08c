package cottonlanding

import "slices"

// Service is a latency-critical service as operators declare it.
type Service struct {
	Name ServiceName `yaml:"Name"`
	// Timeout bounds a request that brings no deadline of its own.
	Timeout Millis `yaml:"Timeout"`
	// Slots is how many requests one executor runs at a time.
	Slots int `yaml:"Slots"`
	// Connections is how many connections one executor takes.
	Connections int `yaml:"Connections"`
	// Queue is how many requests wait at one entry host.
	Queue int `yaml:"Queue"`
	// Repeatable says that a request may be run more than once. Without it a
	// request needs an Idempotency-Key and runs at most once.
	Repeatable bool `yaml:"Repeatable,omitempty"`
}

// TeamQuota is a team as operators declare it.
type TeamQuota struct {
	Name Team `yaml:"Name"`
	// Weight is the team's share against the others'.
	Weight float64 `yaml:"Weight"`
	// Quota bounds what the team's batch tasks hold in one cell; zero fields
	// are unbounded.
	Quota Resources `yaml:"Quota,omitempty"`
}

// Policies names the variant of each policy.
type Policies struct {
	Placement string `yaml:"Placement"`
	Eviction  string `yaml:"Eviction"`
	Admission string `yaml:"Admission"`
}

// Limits bounds attempts and patience of the scheduler.
type Limits struct {
	// Attempts is how often a task may fail before its job is stopped.
	Attempts int `yaml:"Attempts"`
	// LeavingWithin is how long after it is told a leaving host may still get work.
	LeavingWithin Millis `yaml:"LeavingWithin"`
	// AssignAhead is how many batch tasks are assigned to each worker beyond what
	// it can run at once, so that batch goes on starting while the table is out.
	AssignAhead int `yaml:"AssignAhead,omitempty"`
	// KeepAnswers is how long the answer to a request that may not be repeated is kept.
	KeepAnswers Millis `yaml:"KeepAnswers"`
}

// Configuration is one operators' file.
type Configuration struct {
	Deployment string      `yaml:"Deployment"`
	Teams      []TeamQuota `yaml:"Teams"`
	Services   []Service   `yaml:"Services"`
	Jobs       []JobSpec   `yaml:"Jobs,omitempty"`
	Policies   Policies    `yaml:"Policies"`
	Limits     Limits      `yaml:"Limits"`
	// Evacuated lists the data centres in which nothing new starts.
	Evacuated []DataCentre `yaml:"Evacuated,omitempty"`
}

// Evacuates reports whether nothing new starts in a data centre.
func (c Configuration) Evacuates(dataCentre DataCentre) bool {
	return slices.Contains(c.Evacuated, dataCentre)
}

// Service returns the service of that name.
func (c Configuration) Service(name ServiceName) (Service, bool) {
	for _, service := range c.Services {
		if service.Name == name {
			return service, true
		}
	}
	return Service{}, false
}

// Team returns the team of that name.
func (c Configuration) Team(name Team) (TeamQuota, bool) {
	for _, team := range c.Teams {
		if team.Name == name {
			return team, true
		}
	}
	return TeamQuota{}, false
}
