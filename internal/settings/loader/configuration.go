package loader

import (
	"os"
	"slices"
	"strings"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/policy/evictor"
	"github.com/cottonlanding/cottonlanding/internal/policy/orderer"
	"github.com/cottonlanding/cottonlanding/internal/policy/placer"
	"github.com/cottonlanding/cottonlanding/internal/settings/decoder"
)

// Bounds and defaults of the operators' file.
const (
	mostTasks            = 10_000
	mostPayload          = 16 << 10
	mostSlots            = 10_000
	mostQueue            = 100_000
	mostAttempts         = 100
	mostAhead            = 100
	mostWeight           = 1e6
	defaultAttempts      = 3
	defaultLeavingWithin = 3 * cottonlanding.Second
	defaultKeepAnswers   = 10 * cottonlanding.Minute
	defaultQueue         = 256
	longestTimeout       = 10 * cottonlanding.Minute
)

// LoadConfiguration reads an operators' file.
func LoadConfiguration(file string) (cottonlanding.Configuration, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return cottonlanding.Configuration{}, err // names the file
	}
	return ParseConfiguration(file, data)
}

// ParseConfiguration reads an operators' file from data; file is for messages.
func ParseConfiguration(file string, data []byte) (cottonlanding.Configuration, error) {
	var configuration cottonlanding.Configuration
	document, err := decoder.Decode(file, data, &configuration)
	if err != nil {
		return cottonlanding.Configuration{}, err
	}
	fillConfiguration(&configuration)
	checkConfiguration(document, configuration)
	if err := document.Err(); err != nil {
		return cottonlanding.Configuration{}, err
	}
	return configuration, nil
}

// ParseJob reads one job from YAML or JSON and checks it against a
// configuration; file is for messages.
func ParseJob(file string, data []byte, configuration cottonlanding.Configuration) (cottonlanding.JobSpec, error) {
	var spec cottonlanding.JobSpec
	document, err := decoder.Decode(file, data, &spec)
	if err != nil {
		return cottonlanding.JobSpec{}, err
	}
	fillIn(&spec.Kind, cottonlanding.Batch)
	fillIn(&spec.Tasks, 1)
	checkJob(document, "", spec, configuration)
	if err := document.Err(); err != nil {
		return cottonlanding.JobSpec{}, err
	}
	return spec, nil
}

func fillConfiguration(c *cottonlanding.Configuration) {
	fillIn(&c.Policies.Placement, placer.Fallback)
	fillIn(&c.Policies.Eviction, evictor.Fallback)
	fillIn(&c.Policies.Admission, orderer.Fallback)
	fillIn(&c.Limits.Attempts, defaultAttempts)
	fillIn(&c.Limits.LeavingWithin, defaultLeavingWithin)
	fillIn(&c.Limits.KeepAnswers, defaultKeepAnswers)
	for i := range c.Teams {
		fillIn(&c.Teams[i].Weight, 1)
	}
	for i := range c.Services {
		fillIn(&c.Services[i].Queue, defaultQueue)
	}
	for i := range c.Jobs {
		fillIn(&c.Jobs[i].Kind, cottonlanding.Batch)
		fillIn(&c.Jobs[i].Tasks, 1)
	}
}

func checkConfiguration(document *decoder.Document, c cottonlanding.Configuration) {
	checkName(document, "Deployment", c.Deployment)
	checkTeams(document, c.Teams)
	checkServices(document, c.Services)
	checkJobs(document, c)
	checkVariant(document, "Policies.Placement", c.Policies.Placement, placer.Catalog.Names())
	checkVariant(document, "Policies.Eviction", c.Policies.Eviction, evictor.Catalog.Names())
	checkVariant(document, "Policies.Admission", c.Policies.Admission, orderer.Catalog.Names())
	checkRange(document, "Limits.Attempts", c.Limits.Attempts, 1, mostAttempts)
	checkRange(document, "Limits.AssignAhead", c.Limits.AssignAhead, 0, mostAhead)
	checkEvacuated(document, c.Evacuated)
}

func checkEvacuated(document *decoder.Document, evacuated []cottonlanding.DataCentre) {
	for i, dataCentre := range evacuated {
		path := indexed("Evacuated", i)
		checkName(document, path, string(dataCentre))
		if slices.Contains(evacuated[:i], dataCentre) {
			document.Fault(path, "%q is there twice", dataCentre)
		}
	}
}

func checkTeams(document *decoder.Document, teams []cottonlanding.TeamQuota) {
	if len(teams) == 0 {
		document.Fault("Teams", "at least one team is needed")
	}
	seen := make(map[cottonlanding.Team]bool)
	for i, team := range teams {
		path := indexed("Teams", i)
		checkName(document, path+".Name", string(team.Name))
		if seen[team.Name] {
			document.Fault(path+".Name", "%q is there twice", team.Name)
		}
		seen[team.Name] = true
		if team.Weight <= 0 || team.Weight > mostWeight {
			document.Fault(path+".Weight", "%v must be above 0 and at most %v", team.Weight, mostWeight)
		}
	}
}

func checkServices(document *decoder.Document, services []cottonlanding.Service) {
	seen := make(map[cottonlanding.ServiceName]bool)
	for i, service := range services {
		path := indexed("Services", i)
		checkName(document, path+".Name", string(service.Name))
		if seen[service.Name] {
			document.Fault(path+".Name", "%q is there twice", service.Name)
		}
		seen[service.Name] = true
		if service.Timeout <= 0 || service.Timeout > longestTimeout {
			document.Fault(path+".Timeout", "%s must be above 0 and at most %s", service.Timeout, longestTimeout)
		}
		checkRange(document, path+".Slots", service.Slots, 1, mostSlots)
		checkRange(document, path+".Connections", service.Connections, service.Slots, mostSlots)
		checkRange(document, path+".Queue", service.Queue, 1, mostQueue)
	}
}

func checkJobs(document *decoder.Document, c cottonlanding.Configuration) {
	seen := make(map[cottonlanding.JobName]bool)
	for i, job := range c.Jobs {
		path := indexed("Jobs", i)
		if seen[job.Name] {
			document.Fault(path+".Name", "%q is there twice", job.Name)
		}
		seen[job.Name] = true
		checkJob(document, path, job, c)
	}
}

func checkJob(document *decoder.Document, path string, job cottonlanding.JobSpec, c cottonlanding.Configuration) {
	field := func(name string) string { return strings.TrimPrefix(path+"."+name, ".") }
	checkName(document, field("Name"), string(job.Name))
	if _, known := c.Team(job.Team); !known {
		document.Fault(field("Team"), "no team %q; there are %s", job.Team, strings.Join(teamNames(c), ", "))
	}
	checkVariant(document, field("Kind"), string(job.Kind), []string{string(cottonlanding.Batch), string(cottonlanding.Watch)})
	if job.DataCentre != "" {
		checkName(document, field("DataCentre"), string(job.DataCentre))
	}
	checkRange(document, field("Tasks"), job.Tasks, 1, mostTasks)
	if job.Resources.CPU <= 0 {
		document.Fault(field("Resources.CPU"), "must be above 0")
	}
	if job.Resources.Memory <= 0 {
		document.Fault(field("Resources.Memory"), "must be above 0")
	}
	if job.Resources.Accelerators < 0 {
		document.Fault(field("Resources.Accelerators"), "must not be negative")
	}
	if job.Kind == cottonlanding.Batch && job.RunTime <= 0 {
		document.Fault(field("RunTime"), "a batch job needs the time that a task is expected to run")
	}
	if len(job.Payload) > mostPayload {
		document.Fault(field("Payload"), "%d bytes long, at most %d are allowed", len(job.Payload), mostPayload)
	}
}

func teamNames(c cottonlanding.Configuration) []string {
	var out []string
	for _, team := range c.Teams {
		out = append(out, string(team.Name))
	}
	return out
}

func checkVariant(document *decoder.Document, path, name string, known []string) {
	for _, other := range known {
		if other == name {
			return
		}
	}
	document.Fault(path, "no %q; there are %s", name, strings.Join(known, ", "))
}
