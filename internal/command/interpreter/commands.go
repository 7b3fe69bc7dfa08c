package interpreter

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"text/tabwriter"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/api/operator"
	"github.com/cottonlanding/cottonlanding/internal/daemon/exhibitor"
	"github.com/cottonlanding/cottonlanding/internal/daemon/runner"
	"github.com/cottonlanding/cottonlanding/internal/platform/connector"
	"github.com/cottonlanding/cottonlanding/internal/settings/loader"
	"github.com/cottonlanding/cottonlanding/internal/target/commander"
	"github.com/cottonlanding/cottonlanding/internal/target/requester"
	"github.com/cottonlanding/cottonlanding/internal/web/caller"
)

func (s *session) addDaemons() {
	var config string
	serve := s.command("serve", "Run the daemon of an entry host until SIGTERM, which makes a planned stop.", func() error {
		return s.serve(config)
	})
	serve.Flag("config", "Settings of this process, in YAML.").Required().StringVar(&config)
	var address string
	dev := s.command("dev", "Run everything in this one process, with a ready example, for a first look.", func() error {
		return s.dev(cottonlanding.Address(address))
	})
	dev.Flag("listen", "HTTP address to serve on.").Default("127.0.0.1:7100").StringVar(&address)
}

func (s *session) serve(config string) error {
	settings, err := loader.LoadSettings(config)
	if err != nil {
		return err
	}
	client, err := caller.New(settings.LocalIP())
	if err != nil {
		return err
	}
	defer client.Close()
	platform := connector.New(client, settings.Platform)
	daemon, err := runner.New(settings, runner.Outside{
		Table:     platform,
		Hosts:     platform,
		Workers:   commander.New(client),
		Executors: requester.New(client),
	}, s.log())
	if err != nil {
		return err
	}
	untilSignal()
	daemon.Close()
	return nil
}

func (s *session) dev(address cottonlanding.Address) error {
	exhibit, err := exhibitor.New(address, s.log())
	if err != nil {
		return err
	}
	fmt.Fprint(s.out, exhibit.Hints())
	untilSignal()
	exhibit.Close()
	return nil
}

func (s *session) addFiles() {
	var file string
	var dryRun bool
	var generation int64
	check := s.command("check", "Check an operators' file, or a process's settings, without any server.", func() error {
		return s.check(file)
	})
	check.Arg("file", "The file to check.").Required().StringVar(&file)
	apply := s.command("apply", "Put an operators' file in force as a whole.", func() error {
		return s.apply(file, generation, dryRun)
	})
	apply.Arg("file", "The operators' file.").Required().StringVar(&file)
	apply.Flag("generation", "The generation that the file replaces; by default the one in force now.").Default("-1").Int64Var(&generation)
	apply.Flag("dry-run", "Let the server check the file and change nothing.").BoolVar(&dryRun)
	s.command("get", "Print the configuration in force.", s.get)
	var dataCentre string
	evacuate := s.command("evacuate", "Let nothing new start in a data centre. What runs there goes on.", func() error {
		return s.evacuate(cottonlanding.DataCentre(dataCentre), true)
	})
	evacuate.Arg("data-centre", "The data centre's name.").Required().StringVar(&dataCentre)
	restore := s.command("restore", "Take an evacuation back.", func() error {
		return s.evacuate(cottonlanding.DataCentre(dataCentre), false)
	})
	restore.Arg("data-centre", "The data centre's name.").Required().StringVar(&dataCentre)
}

// mostRaces is how often a change is made anew because another operator's came first.
const mostRaces = 5

// evacuate changes the list of evacuated data centres in the configuration in force.
func (s *session) evacuate(dataCentre cottonlanding.DataCentre, evacuated bool) error {
	return s.call(func(ctx context.Context, o *operator.Operator) error {
		var err error
		for range mostRaces {
			var generation cottonlanding.Generation
			if generation, err = s.tryEvacuate(ctx, o, dataCentre, evacuated); err == nil {
				text := fmt.Sprintf("generation %d is accepted: evacuated %t: %s", generation, evacuated, dataCentre)
				return s.print(text, struct {
					DataCentre cottonlanding.DataCentre
					Evacuated  bool
					Generation cottonlanding.Generation
				}{dataCentre, evacuated, generation})
			}
			var refusal *operator.Refusal
			if !errors.As(err, &refusal) || refusal.Status != http.StatusConflict {
				return err
			}
		}
		return err
	})
}

func (s *session) tryEvacuate(ctx context.Context, o *operator.Operator, dataCentre cottonlanding.DataCentre, evacuated bool) (cottonlanding.Generation, error) {
	text, generation, err := o.Config(ctx)
	if err != nil {
		return 0, err
	}
	next, err := loader.Evacuate("the configuration in force", text, dataCentre, evacuated)
	if err != nil {
		return 0, err
	}
	applied, err := o.Apply(ctx, next, generation, false)
	return applied.Generation, err
}

func (s *session) check(file string) error {
	configuration, err := loader.LoadConfiguration(file)
	if err != nil {
		if _, settingsErr := loader.LoadSettings(file); settingsErr == nil {
			return s.print(file+": good settings of a process", struct{ File, Kind string }{file, "Settings"})
		}
		return err
	}
	text := fmt.Sprintf("%s: good: %d teams, %d services, %d jobs", file,
		len(configuration.Teams), len(configuration.Services), len(configuration.Jobs))
	return s.print(text, struct{ File, Kind string }{file, "Configuration"})
}

func (s *session) apply(file string, generation int64, dryRun bool) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if _, err := loader.ParseConfiguration(file, text); err != nil {
		return err
	}
	return s.call(func(ctx context.Context, o *operator.Operator) error {
		expected := cottonlanding.Generation(max(generation, 0))
		if generation < 0 {
			if _, expected, err = o.Config(ctx); err != nil {
				return err
			}
		}
		applied, err := o.Apply(ctx, text, expected, dryRun)
		if err != nil {
			return err
		}
		if dryRun {
			return s.print("the file would be accepted; nothing was changed", applied)
		}
		return s.print(fmt.Sprintf("generation %d is accepted", applied.Generation), applied)
	})
}

func (s *session) get() error {
	return s.call(func(ctx context.Context, o *operator.Operator) error {
		text, generation, err := o.Config(ctx)
		if err != nil {
			return err
		}
		return s.print(fmt.Sprintf("# generation %d\n%s", generation, text),
			struct {
				Generation cottonlanding.Generation
				Text       string
			}{generation, string(text)})
	})
}

func (s *session) addJobs() {
	var file, job string
	submit := s.command("submit", "Submit one job, in YAML or JSON. The same job can be submitted again without harm.", func() error {
		return s.submit(file)
	})
	submit.Arg("file", "The job's file.").Required().StringVar(&file)
	cancel := s.command("cancel", "Cancel a job. It is final once the command succeeds.", func() error {
		return s.jobCall(job, (*operator.Operator).Cancel)
	})
	cancel.Arg("job", "The job's name.").Required().StringVar(&job)
	status := s.command("status", "Print a job with its tasks.", func() error {
		return s.jobCall(job, (*operator.Operator).Status)
	})
	status.Arg("job", "The job's name.").Required().StringVar(&job)
}

func (s *session) submit(file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	return s.call(func(ctx context.Context, o *operator.Operator) error {
		configurationText, _, err := o.Config(ctx)
		if err != nil {
			return err
		}
		configuration, err := loader.ParseConfiguration("the configuration in force", configurationText)
		if err != nil {
			return err
		}
		spec, err := loader.ParseJob(file, text, configuration)
		if err != nil {
			return err
		}
		status, err := o.Submit(ctx, spec.Name, text)
		if err != nil {
			return err
		}
		return s.print(fmt.Sprintf("job %s is accepted", spec.Name), status)
	})
}

type jobFunc func(*operator.Operator, context.Context, cottonlanding.JobName) (cottonlanding.JobStatus, error)

func (s *session) jobCall(job string, call jobFunc) error {
	return s.call(func(ctx context.Context, o *operator.Operator) error {
		status, err := call(o, ctx, cottonlanding.JobName(job))
		if err != nil {
			return err
		}
		if s.output == "Json" {
			return s.print("", status)
		}
		return s.printStatus(status)
	})
}

func (s *session) printStatus(status cottonlanding.JobStatus) error {
	fmt.Fprintf(s.out, "job %s of team %s in cell %s: %s\n", status.Job.Spec.Name, status.Job.Spec.Team, status.Job.Cell, status.Job.State)
	if status.Job.Reason != "" {
		fmt.Fprintf(s.out, "reason: %s\n", status.Job.Reason)
	}
	table := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "TASK\tSTATE\tATTEMPT\tWORKER\tEVICTIONS\tRESULT")
	for _, task := range status.Tasks {
		fmt.Fprintf(table, "%d\t%s\t%d\t%s\t%d\t%s\n", task.ID.Index, task.State, task.Attempt, task.Worker, task.Evictions, task.Result)
	}
	return table.Flush()
}

func (s *session) addHosts() {
	s.command("drain", "Make the server hand over and finish, before it is stopped.", func() error {
		return s.call(func(ctx context.Context, o *operator.Operator) error {
			if err := o.Drain(ctx); err != nil {
				return err
			}
			return s.print("draining", struct{ Draining bool }{true})
		})
	})
	s.command("dump", "Print the server's state, in JSON.", func() error {
		return s.call(func(ctx context.Context, o *operator.Operator) error {
			state, err := o.State(ctx)
			if err != nil {
				return err
			}
			return s.printRaw(state)
		})
	})
}

// print writes the text for people, or the value for programs.
func (s *session) print(text string, value any) error {
	if s.output == "Json" {
		encoder := json.NewEncoder(s.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	_, err := fmt.Fprintln(s.out, text)
	return err
}

func (s *session) printRaw(data []byte) error {
	var value json.RawMessage = data
	encoder := json.NewEncoder(s.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
