package main

import (
	"fmt"
	"slices"
	"time"
)

func init() { cases["4"] = crashesInTurn }

const (
	// crashAfter is how long a run of the job goes before its executor crashes, crashLasts how long that is down.
	crashAfter = 7 * time.Second
	crashLasts = 4500 * time.Millisecond
	// longWork is longer than crashAfter, so that the job is done once the crashes are over.
	longWork = 9 * time.Second
	// settleTime is how long executors are up before the job is sent.
	settleTime = 11 * time.Second
)

// crashesInTurn hands in a job of one task that only the two large executors of eight can run. Three times the
// executor that runs it crashes and is back 4.5 s later; after that nothing is hurt any more. No run of the task
// ever ends failed, so that the job must not be shown as failed.
func crashesInTurn(p *play) (bool, error) {
	if err := p.begin(4); err != nil {
		return false, err
	}
	var large []*executor
	for at := range 8 {
		cpu, name := int64(16_000), fmt.Sprintf("small%d", at)
		if at < 2 {
			cpu, name = 24_000, fmt.Sprintf("large%d", at)
		}
		e, err := p.fleet.add(name, service, zones[at%3], []string{"a", fmt.Sprintf("r1-%d", 1+at/4)}, resources{CPU: cpu, Memory: 64_000})
		if err != nil {
			return false, err
		}
		if at < 2 {
			large = append(large, e)
		}
	}
	if err := p.startHosts(); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	const id, spec = "00000000000000a4", "one long firing"
	p.works[spec] = work{resources{CPU: 20_000, Memory: 32_000}, longWork}
	j := job{Spec: spec, Steps: []step{{Count: 1, CPU: 20_000, Memory: 32_000, Estimate: longWork.Milliseconds()}}}
	if err := p.client.submit(p.hosts, id, j, 15*time.Second); err != nil {
		return false, err
	}
	task := id + ".0.0.0"
	if p.trouble {
		go p.crashInTurn(large, task, 3)
	}
	for until := time.Now().Add(75 * time.Second); time.Now().Before(until); time.Sleep(time.Second) {
		for _, h := range p.hosts {
			switch p.client.state(h, id) {
			case "succeeded":
				return slices.Contains(p.fleet.endsOf(task), "done"), nil
			case "failed":
				p.record.line("check  job %s shows as failed, its runs ended: %v", id, p.fleet.endsOf(task))
				return slices.Contains(p.fleet.endsOf(task), "failed"), nil
			}
		}
	}
	return false, fmt.Errorf("the job is neither done nor failed after 75 s, its runs ended: %v", p.fleet.endsOf(task))
}

// crashInTurn lets the executor that runs the task crash so many times, crashAfter after the run has begun.
func (p *play) crashInTurn(large []*executor, task string, times int) {
	for range times {
		at := -1
		for at < 0 {
			time.Sleep(10 * time.Millisecond)
			at = slices.IndexFunc(large, func(e *executor) bool { return e.runs(task) })
		}
		time.Sleep(crashAfter)
		large[at].crash()
		time.Sleep(crashLasts)
		if err := large[at].restart(); err != nil {
			p.record.line("exec   %s can't restart: %v", large[at].name, err)
			return
		}
	}
}
