// Command review-stand-2 plays one case of the second review: it starts hosts of the project with the command of
// the deploy file, and stands in for the platform's store, for executors and for clients.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	notRun   = 2
	longest  = 115 * time.Second
	runLimit = 40 * time.Second
)

// play is one case that runs.
type play struct {
	record  *record
	folder  string
	trouble bool
	store   *store
	fleet   *fleet
	client  *client
	hosts   []*host
	// spec is the specification of each job that was sent, works the work of its tasks.
	works map[string]work
}

// cases holds the cases by their number. Each returns whether the rule held.
var cases = map[string]func(*play) (bool, error){}

func main() {
	number := flag.String("case", "", "the case")
	recordPath := flag.String("record", "", "the record's file")
	namesPath := flag.String("names", "review/stand-2/names.json", "the words of the pages")
	flag.Parse()
	os.Exit(run(*number, *recordPath, *namesPath))
}

func run(number, recordPath, namesPath string) int {
	body, known := cases[number]
	if !known {
		fmt.Fprintf(os.Stderr, "no case %q\n", number)
		return notRun
	}
	if err := loadNames(namesPath); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	folder, err := os.MkdirTemp("", "review-stand-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	p := &play{record: rec, folder: folder, trouble: os.Getenv("TROUBLE") != "0", works: make(map[string]work)}
	defer p.end()
	rec.line("case   %s, trouble: %t", number, p.trouble)
	type result struct {
		ok  bool
		err error
	}
	done := make(chan result, 1)
	go func() {
		ok, err := body(p)
		done <- result{ok, err}
	}()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	var out result
	select {
	case out = <-done:
	case <-time.After(longest):
		out.err = fmt.Errorf("the case took longer than %s", longest)
	case <-stopped:
		out.err = fmt.Errorf("stopped from outside")
	}
	switch {
	case out.err != nil:
		rec.line("result the case couldn't run: %v", out.err)
		fmt.Fprintln(os.Stderr, out.err)
		return notRun
	case out.ok:
		rec.line("result the rule held")
		return held
	}
	rec.line("result the rule was broken")
	return broken
}

// end ends all processes.
func (p *play) end() {
	for _, h := range p.hosts {
		h.end()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(p.folder)
	}
}

// begin starts the store with a configuration, and one host in each of three zones.
func (p *play) begin(attempts int) error {
	var err error
	if p.store, err = newStore(); err != nil {
		return err
	}
	p.fleet = newFleet(p.store, p.record, func(spec, task string) (work, bool) {
		found, known := p.works[spec]
		return found, known && jobOf(task) != ""
	})
	p.client = newClient(p.record)
	p.store.put("op", "config", map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-plans", "hostname": hostName, "pathPrefix": pathPrefix, "routeType": "non_idempotent", "timeoutMs": 3000,
			"targetLatencyMs": 1000, "priority": 0, "backend": service, "maxAttempts": attempts, "stretch": 2.0,
		}},
		"services": []map[string]any{{
			"name": service, "healthPath": "/health", "maxConnections": 64, "protocol": "h1", "tls": false,
			"enforcesCapacity": true, "headroom": false,
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	net3, err := freeNetwork()
	if err != nil {
		return err
	}
	for at, zone := range zones {
		h, err := newHost("edge-"+zone, zone, fmt.Sprintf("%s.%d", net3, firstHost+at), p.store.address, p.folder, p.record)
		if err != nil {
			return err
		}
		p.hosts = append(p.hosts, h)
	}
	return nil
}

// startHosts starts all hosts and waits until they take calls.
func (p *play) startHosts() error {
	for _, h := range p.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	for _, h := range p.hosts {
		if err := h.awaitReady(runLimit); err != nil {
			return err
		}
	}
	return nil
}

var zones = []string{"nidau", "biel", "ins"}
