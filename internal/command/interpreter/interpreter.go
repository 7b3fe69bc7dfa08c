// Package interpreter runs the command line of cottonlanding.
package interpreter

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/api/operator"
	"github.com/cottonlanding/cottonlanding/internal/settings/decoder"
	"github.com/cottonlanding/cottonlanding/internal/web/caller"
)

// Exit codes, also listed in the help and in docs/OPERATORS.md.
const (
	exitOK = 0
	// exitFailed is for what could not be done now, such as no connection.
	exitFailed = 1
	// exitUsage is for wrong arguments and faulty files.
	exitUsage = 2
	// exitRefused is for what the system refused for good.
	exitRefused = 3
	// exitUnknown is for a change whose outcome is not known.
	exitUnknown = 4
)

const help = `Schedules latency-critical services and batch work on the same hosts.

Exit codes: 0 done; 1 not done now, try again; 2 wrong arguments or a faulty file;
3 refused for good; 4 outcome unknown, look with status or get before repeating.

To try it on this machine alone: cottonlanding dev`

const callTimeout = 10 * time.Second

// session is one run of the command line.
type session struct {
	out    io.Writer
	errors io.Writer

	app    *kingpin.Application
	server string
	output string
	// actions run the commands by their full name.
	actions map[string]func() error
}

// Run runs the command line and returns the exit code.
func Run(arguments []string, out, errors io.Writer) int {
	s := &session{out: out, errors: errors, actions: make(map[string]func() error)}
	s.app = kingpin.New("cottonlanding", help)
	s.app.UsageWriter(errors).ErrorWriter(errors)
	s.app.HelpFlag.Short('h')
	exit := -1
	s.app.Terminate(func(code int) { exit = code })
	s.app.Flag("server", "HTTP address of any entry host, for operators' commands.").
		Default("127.0.0.1:7100").Envar("COTTONLANDING_SERVER").StringVar(&s.server)
	s.app.Flag("output", "Table for people or Json for programs.").Default("Table").EnumVar(&s.output, "Table", "Json")
	s.addDaemons()
	s.addFiles()
	s.addJobs()
	s.addHosts()
	command, err := s.app.Parse(arguments)
	if exit >= 0 {
		return exit
	}
	if err != nil {
		fmt.Fprintf(errors, "cottonlanding: %v; see cottonlanding --help\n", err)
		return exitUsage
	}
	return s.exitCode(s.actions[command]())
}

func (s *session) exitCode(err error) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintf(s.errors, "cottonlanding: %v\n", err)
	var refusal *operator.Refusal
	var problems decoder.Problems
	switch {
	case errors.As(err, &problems), errors.Is(err, os.ErrNotExist):
		return exitUsage
	case errors.As(err, &refusal):
		return refusalCode(refusal)
	case errors.Is(err, cottonlanding.ErrAmbiguous):
		return exitUnknown
	default:
		return exitFailed
	}
}

func refusalCode(refusal *operator.Refusal) int {
	switch {
	case refusal.Outcome == cottonlanding.Unknown || refusal.Status == http.StatusGatewayTimeout:
		return exitUnknown
	case refusal.Status == http.StatusServiceUnavailable || refusal.Status == http.StatusTooManyRequests:
		return exitFailed
	default:
		return exitRefused
	}
}

// command adds a command whose action runs after parsing.
func (s *session) command(name, help string, action func() error) *kingpin.CmdClause {
	s.actions[name] = action
	return s.app.Command(name, help)
}

// call runs an operator's call with its timeout.
func (s *session) call(action func(ctx context.Context, o *operator.Operator) error) error {
	client, err := caller.New("")
	if err != nil {
		return err
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return action(ctx, operator.New(client, cottonlanding.Address(s.server)))
}

func (s *session) log() *slog.Logger { return slog.New(slog.NewTextHandler(s.errors, nil)) }

// untilSignal waits for SIGTERM or SIGINT.
func untilSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	signal.Stop(signals)
}
