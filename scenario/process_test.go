package scenario_test

import (
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	processesKey = "processes"
	endWithin    = 40 * time.Second
	pause        = 50 * time.Millisecond
	// reportBytes is how much of the output of each process of a failed script is
	// printed: some hundred lines.
	reportBytes = 20_000
)

// process is a program that a script started.
type process struct {
	command *exec.Cmd
	done    chan struct{}
	// how tells when and how the process ended, once done is closed.
	how string
}

// processes are those of one script, by name.
type processes struct {
	mu     sync.Mutex
	byName map[string]*process
}

func setUp(env *testscript.Env) error {
	all := &processes{byName: make(map[string]*process)}
	env.Values[processesKey] = all
	env.Defer(func() {
		all.killAll()
		if t, ok := env.T().(interface{ Failed() bool }); ok && t.Failed() {
			all.report(env)
		}
	})
	return nil
}

// report prints how each process of a failed script ended, and the end of its output.
func (p *processes) report(env *testscript.Env) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(p.byName)) {
		output, err := os.ReadFile(filepath.Join(env.WorkDir, name+".log"))
		if err != nil {
			output = []byte(err.Error())
		}
		tail := output[max(0, len(output)-reportBytes):]
		env.T().Log(fmt.Sprintf("process %s: %s; output: %s", name, p.byName[name].how, tail))
	}
}

func (p *processes) killAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, one := range p.byName {
		_ = one.command.Process.Kill() // it may have ended
		<-one.done
	}
}

func (p *processes) get(ts *testscript.TestScript, name string) *process {
	p.mu.Lock()
	defer p.mu.Unlock()
	one := p.byName[name]
	if one == nil {
		ts.Fatalf("no process %q was started", name)
	}
	return one
}

func all(ts *testscript.TestScript) *processes { return ts.Value(processesKey).(*processes) }

// start NAME PROGRAM ARGS... starts a process; its output is added to NAME.log. A
// process of that name that was killed must have ended first: it may hold its ports
// for a while, and one that finds them in use ends at once.
func start(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: start NAME PROGRAM ARGS...")
	}
	p := all(ts)
	if !p.awaitEnd(args[0]) {
		ts.Fatalf("the %s before has not ended", args[0])
	}
	command := prepare(ts, args[1], args[2:])
	log, err := os.OpenFile(ts.MkAbs(args[0]+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	ts.Check(err)
	command.Stdout, command.Stderr = log, log
	ts.Check(command.Start())
	one := &process{command: command, done: make(chan struct{})}
	go func() {
		began := time.Now()
		err := command.Wait() // scripts kill processes on purpose
		one.how = fmt.Sprintf("ended after %s: %v", time.Since(began).Round(time.Millisecond), err)
		_ = log.Close()
		close(one.done)
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.byName[args[0]] = one
}

// awaitEnd waits for the process of a name, if there is one, to have ended.
func (p *processes) awaitEnd(name string) bool {
	p.mu.Lock()
	old := p.byName[name]
	p.mu.Unlock()
	if old == nil {
		return true
	}
	select {
	case <-old.done:
		return true
	case <-time.After(endWithin):
		return false
	}
}

func prepare(ts *testscript.TestScript, program string, args []string) *exec.Cmd {
	path := program
	for _, folder := range filepath.SplitList(ts.Getenv("PATH")) {
		candidate := filepath.Join(folder, program)
		if _, err := os.Stat(candidate); err == nil {
			path = candidate
			break
		}
	}
	command := exec.Command(path, args...)
	command.Dir = ts.MkAbs(".")
	command.Env = append(os.Environ(), "PATH="+ts.Getenv("PATH"))
	return command
}

var signals = map[string]syscall.Signal{
	"TERM": syscall.SIGTERM, "KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT,
}

// signal NAME SIGNAL sends TERM, KILL, STOP or CONT to a process.
func signalProcess(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: signal NAME TERM|KILL|STOP|CONT")
	}
	ts.Check(all(ts).get(ts, args[0]).command.Process.Signal(signals[args[1]]))
}

// ended NAME waits for a process to end.
func ended(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: ended NAME")
	}
	select {
	case <-all(ts).get(ts, args[0]).done:
	case <-time.After(endWithin):
		ts.Fatalf("%s has not ended", args[0])
	}
}

// until DURATION PATTERN PROGRAM ARGS... runs a program again and again until
// its output matches; with ! the whole time must pass without a match.
func until(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) < 3 {
		ts.Fatalf("usage: until DURATION PATTERN PROGRAM ARGS...")
	}
	span, err := time.ParseDuration(args[0])
	ts.Check(err)
	pattern, err := regexp.Compile("(?m)" + args[1])
	ts.Check(err)
	var last []byte
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(pause) {
		last, _ = prepare(ts, args[2], args[3:]).CombinedOutput() // a failure shows in the output
		if pattern.Match(last) {
			if neg {
				ts.Fatalf("matched %q: %s", args[1], last)
			}
			return
		}
	}
	if !neg {
		ts.Fatalf("no match of %q within %s of %s; last: %s", args[1], args[0], strings.Join(args[2:], " "), last)
	}
}

const settings = `DataCentre: %s
HTTPAddress: %s:7100
PeerAddress: %s:7101
Platform: %s
Seats: %s
Timing:
  SessionTTL: 1500ms
  LeaseTTL: 8500ms
  CutOffGrace: %s
  Poll: 200ms
`

// entry NAME DATACENTRE IP PLATFORM SEATS GRACE writes the settings NAME.yaml.
func entry(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 6 {
		ts.Fatalf("usage: entry NAME DATACENTRE IP PLATFORM SEATS GRACE")
	}
	text := fmt.Sprintf(settings, args[1], args[2], args[2], args[3], args[4], args[5])
	ts.Check(os.WriteFile(ts.MkAbs(args[0]+".yaml"), []byte(text), 0o600))
}
