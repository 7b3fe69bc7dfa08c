// Package interpreter runs the command line of cottonload.
package interpreter

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/load/auditor"
	"github.com/cottonlanding/cottonlanding/internal/load/generator"
	"github.com/cottonlanding/cottonlanding/internal/web/caller"
)

const (
	exitFailed = 1
	exitUsage  = 2
	// exitUntrue is for outcomes that the ledgers contradict.
	exitUntrue   = 3
	auditTimeout = 20 * time.Second
	// settle is how long late answers are awaited before the audit.
	settle      = time.Second
	mostRate    = 20_000
	mostSeconds = 600
)

const help = `Sends bounded load to a deployment and checks what ran.

Exit codes: 0 done; 1 could not run; 2 wrong arguments; 3 an outcome was untrue.`

// options are the flags.
type options struct {
	targets   []string
	executors []string
	path      string
	team      string
	rate      float64
	duration  time.Duration
	deadline  time.Duration
	booking   bool
	seed      uint64
	output    string
}

// result is what a run prints.
type result struct {
	Report  generator.Report
	Finding *auditor.Finding `json:",omitempty"`
}

// Run runs the command line and returns the exit code.
func Run(arguments []string, out, errors io.Writer) int {
	var o options
	app := kingpin.New("cottonload", help)
	app.UsageWriter(errors).ErrorWriter(errors)
	exit := -1
	app.Terminate(func(code int) { exit = code })
	addRequests(app, &o)
	if _, err := app.Parse(arguments); err != nil && exit < 0 {
		fmt.Fprintf(errors, "cottonload: %v; see cottonload --help\n", err)
		return exitUsage
	}
	if exit >= 0 {
		return exit
	}
	code, err := o.requests(out)
	if err != nil {
		fmt.Fprintf(errors, "cottonload: %v\n", err)
	}
	return code
}

func addRequests(app *kingpin.Application, o *options) {
	command := app.Command("requests", "Send requests at a rate, whatever becomes of the earlier ones.")
	command.Flag("target", "HTTP address of an entry host; may be repeated.").Required().StringsVar(&o.targets)
	command.Flag("executor", "Address of a stand-in executor whose ledger is checked; may be repeated.").StringsVar(&o.executors)
	command.Flag("path", "Path of the requests.").Default("/v1/Services/Ofenbuch/Requests/slots").StringVar(&o.path)
	command.Flag("team", "Team.").Default("members").StringVar(&o.team)
	command.Flag("rate", "Requests a second, at most 20000.").Default("100").Float64Var(&o.rate)
	command.Flag("duration", "How long to send, at most 10m.").Default("10s").DurationVar(&o.duration)
	command.Flag("deadline", "Deadline of each request.").Default("1s").DurationVar(&o.deadline)
	command.Flag("booking", "Send bookings with keys that may run once, instead of GET.").BoolVar(&o.booking)
	command.Flag("seed", "Seed of the arrivals.").Default("1").Uint64Var(&o.seed)
	command.Flag("output", "Table or Json.").Default("Table").EnumVar(&o.output, "Table", "Json")
}

func addressesOf(texts []string) []cottonlanding.Address {
	out := make([]cottonlanding.Address, len(texts))
	for i, text := range texts {
		out[i] = cottonlanding.Address(text)
	}
	return out
}

func (o *options) requests(out io.Writer) (int, error) {
	if o.rate <= 0 || o.rate > mostRate || o.duration.Seconds() > mostSeconds {
		return exitUsage, fmt.Errorf("the rate must lie between 0 and %d, the duration below %d s", mostRate, mostSeconds)
	}
	client, err := caller.New("")
	if err != nil {
		return exitFailed, err
	}
	defer client.Close()
	report := generator.Send(generator.Plan{
		Targets:  addressesOf(o.targets),
		Path:     o.path,
		Team:     cottonlanding.Team(o.team),
		Rate:     o.rate,
		Duration: o.duration,
		Deadline: cottonlanding.FromDuration(o.deadline),
		Booking:  o.booking,
		Seed:     o.seed,
		Prefix:   fmt.Sprintf("run-%d", time.Now().UnixNano()),
	})
	finding, err := o.audit(client, report)
	if err != nil {
		return exitFailed, err
	}
	if err := o.print(out, result{Report: report, Finding: finding}); err != nil {
		return exitFailed, err
	}
	if report.Foreign > 0 || finding != nil && !finding.Good() {
		return exitUntrue, fmt.Errorf("an outcome was untrue")
	}
	return 0, nil
}

func (o *options) audit(client *caller.Caller, report generator.Report) (*auditor.Finding, error) {
	if len(o.executors) == 0 {
		return nil, nil
	}
	time.Sleep(settle)
	ctx, cancel := context.WithTimeout(context.Background(), auditTimeout)
	defer cancel()
	finding, err := auditor.Audit(ctx, client, addressesOf(o.executors), report.Keys)
	return &finding, err
}

func (o *options) print(out io.Writer, r result) error {
	if o.output == "Json" {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(r)
	}
	report := r.Report
	fmt.Fprintf(out, "sent %d in %.1f s (skipped %d): %d ran, %d not run, %d unknown, %d foreign; goodput %.0f/s\n",
		report.Sent, report.Seconds, report.Skipped, report.Outcomes[cottonlanding.Ran],
		report.Outcomes[cottonlanding.NotRun], report.Outcomes[cottonlanding.Unknown], report.Foreign, report.Goodput)
	printLatencies(out, "ran    ", report.Ran)
	printLatencies(out, "refused", report.Refused)
	if report.Example != "" {
		fmt.Fprintf(out, "foreign: %s\n", report.Example)
	}
	if r.Finding != nil {
		fmt.Fprintf(out, "ledgers: %+v\n", *r.Finding)
	}
	return nil
}

func printLatencies(out io.Writer, name string, l generator.Latencies) {
	fmt.Fprintf(out, "%s  p50 %.2f  p90 %.2f  p99 %.2f  p99.9 %.2f  max %.2f ms\n", name, l.P50, l.P90, l.P99, l.P999, l.Max)
}
