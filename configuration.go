package cottonlanding

import "slices"

// Service is a latency-critical service as declared by operators.
type Service struct {
	Name ServiceName `yaml:"Name"`
	// Timeout bounds requests that have no deadline of their own.
	Timeout Millis `yaml:"Timeout"`
	// Slots is the maximum number of requests that one executor runs at a time.
	Slots int `yaml:"Slots"`
	// Connections is the maximum number of connections to one executor.
	Connections int `yaml:"Connections"`
	// Queue is the maximum number of requests that wait at one entry host.
	Queue int `yaml:"Queue"`
	// Repeatable says that a request may be run more than once. Otherwise a request needs an
	// Idempotency-Key and runs at most once.
	Repeatable bool `yaml:"Repeatable,omitempty"`
}

// TeamQuota is a client account as declared by operators.
type TeamQuota struct {
	Name Team `yaml:"Name"`
	// Weight is the account's share relative to the others'.
	Weight float64 `yaml:"Weight"`
	// Quota bounds what the account's batch tasks hold in one cell; zero fields are unbounded.
	Quota Resources `yaml:"Quota,omitempty"`
}

// Policies names the variant of each policy.
type Policies struct {
	Placement string `yaml:"Placement"`
	Eviction  string `yaml:"Eviction"`
	Admission string `yaml:"Admission"`
}

// Limits bounds attempts, delays and retention.
type Limits struct {
	// Attempts is how often a task may fail before its job is stopped.
	Attempts int `yaml:"Attempts"`
	// LeavingWithin is for how long a host may still be given work after it was reported as leaving.
	LeavingWithin Millis `yaml:"LeavingWithin"`
	// AssignAhead is how many batch tasks are assigned to each worker beyond what it can run at once,
	// so that batch tasks continue to start while the table is unavailable.
	AssignAhead int `yaml:"AssignAhead,omitempty"`
	// KeepAnswers is the retention of answers to requests that may not be repeated.
	KeepAnswers Millis `yaml:"KeepAnswers"`
}

// Configuration is the content of the operators' configuration file.
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
