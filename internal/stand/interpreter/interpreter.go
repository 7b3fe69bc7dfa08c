// Package interpreter runs the command line of cottonstand.
package interpreter

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/platform/connector"
	"github.com/cottonlanding/cottonlanding/internal/platform/keeper"
	"github.com/cottonlanding/cottonlanding/internal/stand/executor"
	"github.com/cottonlanding/cottonlanding/internal/stand/faulter"
	"github.com/cottonlanding/cottonlanding/internal/stand/platform"
	"github.com/cottonlanding/cottonlanding/internal/stand/worker"
	"github.com/cottonlanding/cottonlanding/internal/web/caller"
	"github.com/cottonlanding/cottonlanding/internal/web/listener"
)

const (
	exitFailed = 1
	exitUsage  = 2
	// listEvery is how often a stand-in tries to list itself.
	listEvery    = 200 * time.Millisecond
	listTimeout  = time.Second
	closeTimeout = 2 * time.Second
)

const help = `Stand-ins for the systems around cottonlanding, for tests and trials. None keeps anything.
Each has fault switches: PUT ` + faulter.Path + ` with a JSON body, see docs/TESTING.md.`

// options are the flags of all commands.
type options struct {
	listen      string
	platform    string
	dataCentre  string
	count       int
	first       int
	perRack     int
	cores       int
	gigabytes   int
	accelerator int
	service     string
	slots       int
	serviceTime time.Duration
	lag         time.Duration
}

// Run runs the command line until SIGTERM and returns the exit code.
func Run(arguments []string, out, errors io.Writer) int {
	var o options
	app := kingpin.New("cottonstand", help)
	app.UsageWriter(errors).ErrorWriter(errors)
	exit := -1
	app.Terminate(func(code int) { exit = code })
	addPlatform(app, &o)
	addWorker(app, &o)
	addExecutor(app, &o)
	command, err := app.Parse(arguments)
	if exit >= 0 {
		return exit
	}
	if err != nil {
		fmt.Fprintf(errors, "cottonstand: %v; see cottonstand --help\n", err)
		return exitUsage
	}
	actions := map[string]func(*options) (*listener.Listener, error){
		"platform": runPlatform, "worker": runWorkers, "executor": runExecutors,
	}
	server, err := actions[command](&o)
	if err != nil {
		fmt.Fprintf(errors, "cottonstand: %v\n", err)
		return exitFailed
	}
	fmt.Fprintf(out, "%s listens on %s\n", command, o.listen)
	untilSignal()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = server.Close(ctx) // nothing is kept
	return 0
}

func untilSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
}

func addPlatform(app *kingpin.Application, o *options) {
	command := app.Command("platform", "The table service, the object store and the host list.")
	command.Flag("listen", "Address to listen on.").Default("127.0.0.1:7000").StringVar(&o.listen)
	command.Flag("lag", "How long the host list lags.").Default("1s").DurationVar(&o.lag)
}

func addTarget(command *kingpin.CmdClause, o *options) {
	command.Flag("listen", "Address of the first; the others use the following ports.").Required().StringVar(&o.listen)
	command.Flag("platform", "Address of the platform to be listed at.").Default("127.0.0.1:7000").StringVar(&o.platform)
	command.Flag("data-centre", "Data centre.").Required().StringVar(&o.dataCentre)
	command.Flag("count", "How many.").Default("1").IntVar(&o.count)
	command.Flag("first", "Number of the first, for its name.").Default("1").IntVar(&o.first)
	command.Flag("per-rack", "Workers in a rack.").Default("8").IntVar(&o.perRack)
}

func addWorker(app *kingpin.Application, o *options) {
	command := app.Command("worker", "Workers that run tasks under leases.")
	addTarget(command, o)
	command.Flag("cores", "Processor cores of each.").Default("32").IntVar(&o.cores)
	command.Flag("gigabytes", "Memory of each.").Default("125").IntVar(&o.gigabytes)
	command.Flag("accelerators", "Accelerators of each.").Default("0").IntVar(&o.accelerator)
}

func addExecutor(app *kingpin.Application, o *options) {
	command := app.Command("executor", "Executors that answer requests of one service.")
	addTarget(command, o)
	command.Flag("service", "The service.").Required().StringVar(&o.service)
	command.Flag("slots", "Requests at a time.").Default("8").IntVar(&o.slots)
	command.Flag("service-time", "Time of one request.").Default("5ms").DurationVar(&o.serviceTime)
}

func runPlatform(o *options) (*listener.Listener, error) {
	handler := platform.New(keeper.New(), cottonlanding.FromDuration(o.lag))
	return listener.New(faulter.New(handler), cottonlanding.Address(o.listen))
}

// addresses returns count addresses with consecutive ports.
func addresses(first string, count int) ([]cottonlanding.Address, error) {
	host, port, err := net.SplitHostPort(first)
	if err != nil {
		return nil, fmt.Errorf("listen address: %w", err)
	}
	number, err := strconv.Atoi(port)
	if err != nil {
		return nil, fmt.Errorf("listen address: %w", err)
	}
	out := make([]cottonlanding.Address, count)
	for i := range out {
		out[i] = cottonlanding.Address(net.JoinHostPort(host, strconv.Itoa(number+i)))
	}
	return out, nil
}

func runWorkers(o *options) (*listener.Listener, error) {
	all, err := addresses(o.listen, o.count)
	if err != nil {
		return nil, err
	}
	client, err := caller.New("")
	if err != nil {
		return nil, err
	}
	store := connector.New(client, cottonlanding.Address(o.platform))
	clock := cottonlanding.ClockOf(wallClock)
	var workers []*worker.Worker
	for i, address := range all {
		workers = append(workers, worker.New(o.workerInfo(i, address), clock, store))
	}
	server, err := listener.New(faulter.New(worker.NewGroup(workers...)), all...)
	if err != nil {
		return nil, err
	}
	for _, w := range workers {
		if err := list(client, o.platform, platform.WorkersPath, w.Info()); err != nil {
			return nil, err
		}
	}
	return server, nil
}

func (o *options) workerInfo(i int, address cottonlanding.Address) cottonlanding.WorkerInfo {
	number := o.first + i
	return cottonlanding.WorkerInfo{
		ID:         cottonlanding.WorkerID(fmt.Sprintf("%s-worker-%d", o.dataCentre, number)),
		Address:    address,
		DataCentre: cottonlanding.DataCentre(o.dataCentre),
		Rack:       cottonlanding.Rack(fmt.Sprintf("%s-rack-%d", o.dataCentre, (number-1)/o.perRack+1)),
		Capacity: cottonlanding.Resources{
			CPU:          cottonlanding.Millicores(o.cores) * cottonlanding.Core,
			Memory:       cottonlanding.Bytes(o.gigabytes) * cottonlanding.Gigabyte,
			Accelerators: cottonlanding.Accelerators(o.accelerator),
		},
		State: cottonlanding.Live,
	}
}

func runExecutors(o *options) (*listener.Listener, error) {
	all, err := addresses(o.listen, o.count)
	if err != nil {
		return nil, err
	}
	client, err := caller.New("")
	if err != nil {
		return nil, err
	}
	byHost := make(map[string]http.Handler)
	var executors []*executor.Executor
	for i, address := range all {
		e := executor.New(o.executorInfo(i, address), o.slots, cottonlanding.FromDuration(o.serviceTime))
		byHost[string(address)] = faulter.New(e)
		executors = append(executors, e)
	}
	server, err := listener.New(hostMux(byHost), all...)
	if err != nil {
		return nil, err
	}
	for _, e := range executors {
		if err := list(client, o.platform, platform.ExecutorsPath, e.Info()); err != nil {
			return nil, err
		}
	}
	return server, nil
}

func (o *options) executorInfo(i int, address cottonlanding.Address) cottonlanding.ExecutorInfo {
	number := o.first + i
	return cottonlanding.ExecutorInfo{
		ID:         cottonlanding.ExecutorID(fmt.Sprintf("%s-executor-%d", o.dataCentre, number)),
		Service:    cottonlanding.ServiceName(o.service),
		Address:    address,
		DataCentre: cottonlanding.DataCentre(o.dataCentre),
		Worker:     cottonlanding.WorkerID(fmt.Sprintf("%s-worker-%d", o.dataCentre, number)),
		State:      cottonlanding.Live,
	}
}

// hostMux picks the handler by the Host header.
type hostMux map[string]http.Handler

// ServeHTTP implements http.Handler.
func (m hostMux) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	handler := m[r.Host]
	if handler == nil {
		http.NotFound(w, r)
		return
	}
	handler.ServeHTTP(w, r)
}

// list puts a target on the platform's host list, trying until the platform is
// there.
func list(client *caller.Caller, address, path string, info any) error {
	body, err := json.Marshal(info)
	if err != nil {
		return fmt.Errorf("encode host: %w", err)
	}
	for {
		if putOnce(client, "http://"+address+path, body) == nil {
			return nil
		}
		time.Sleep(listEvery)
	}
}

func putOnce(client *caller.Caller, url string, body []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), listTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	_, err = client.Do(ctx, request)
	return err
}

// wallClock makes the ledgers of stand-ins on one machine comparable.
func wallClock() cottonlanding.Millis { return cottonlanding.Millis(time.Now().UnixMilli()) }
