package main

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

func init() { cases["5"] = waitsAfterCrashes }

const (
	// settleTime is how long executors are up before the job is sent.
	settleTime = 11 * time.Second
	// crashAfter is how long a run of the job goes before its executor crashes, crashLasts how long that is down.
	crashAfter = 7 * time.Second
	crashLasts = 4500 * time.Millisecond
	// longWork is longer than crashAfter, so that the job is done once the crashes are over.
	longWork = 9 * time.Second
	// streamEvery is the time between two small jobs of the stream, smallWork how long their tasks take.
	streamEvery = 350 * time.Millisecond
	smallWork   = time.Second
	// calmBefore and idleBound are the two spans of the rule: 3 s without a run, after 4 s of calm. settled is how much
	// longer the check waits, for an executor that is up to be known.
	calmBefore = 4 * time.Second
	idleBound  = 3 * time.Second
	settled    = time.Second
)

// waitsAfterCrashes hands in a job of one task that two executors of eight can run, on which small tasks begin all the
// while. Four times the executor that runs it crashes and is back 4.5 s later. After that nothing is hurt any more and
// both executors have room for the job, so that it may not be without a run for 3 s of calm.
func waitsAfterCrashes(p *play) (bool, error) {
	if err := p.begin(4); err != nil {
		return false, err
	}
	var able []*executor
	for at := range 8 {
		kind := "a"
		if at < 2 {
			kind = "b"
		}
		e, err := p.fleet.add(fmt.Sprintf("%s%d", kind, at), service, zones[at%3], []string{kind, fmt.Sprintf("r1-%d", 1+at/4)}, resources{CPU: 16_000, Memory: 64_000})
		if err != nil {
			return false, err
		}
		if kind == "b" {
			able = append(able, e)
		}
	}
	if err := p.startHosts(); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	const id, spec, small = "00000000000000a5", "one long firing", "one quick check"
	p.works[spec] = work{resources{CPU: 4_000, Memory: 8_000}, longWork}
	p.works[small] = work{resources{CPU: 500, Memory: 500}, smallWork}
	stop := make(chan struct{})
	defer close(stop)
	go p.stream(small, stop)
	time.Sleep(time.Second)
	j := job{Spec: spec, Steps: []step{{Count: 1, CPU: 4_000, Memory: 8_000, Estimate: longWork.Milliseconds(), Requires: "b"}}}
	if err := p.client.submit(p.hosts, id, j, 15*time.Second); err != nil {
		return false, err
	}
	task := id + ".0.0.0"
	if p.trouble {
		p.crashInTurn(able, task, 4)
	}
	calmFrom := time.Now()
	deadline := calmFrom.Add(25 * time.Second)
	for time.Now().Before(deadline) {
		ends := p.fleet.endsOf(task)
		switch {
		case len(ends) > 0 && ends[len(ends)-1] == "done":
			return true, nil
		case p.fleet.going(task) > 0:
		case time.Since(calmFrom) > settled+calmBefore+idleBound && p.fleet.startsAfter(id, calmFrom) == 0:
			p.record.line("check  job %s has had no run for %s, its executors are up and have room; it shows as %s", id, time.Since(calmFrom), p.client.state(p.hosts[0], id))
			return false, nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false, fmt.Errorf("the job isn't done after 25 s of calm, its runs ended: %v", p.fleet.endsOf(task))
}

// stream hands in a small job again and again, one task of which goes to each executor of kind b.
func (p *play) stream(spec string, stop chan struct{}) {
	j := job{Spec: spec, Steps: []step{{Count: 2, CPU: 500, Memory: 500, Estimate: smallWork.Milliseconds(), Requires: "b", Apart: 1}}}
	for at := 0; ; at++ {
		select {
		case <-stop:
			return
		case <-time.After(streamEvery):
		}
		go p.client.call(p.hosts[at%len(p.hosts)], http.MethodPost, fmt.Sprintf("%016x", 0x600000+at), j)
	}
}

// crashInTurn lets the executor that runs the task crash so many times, crashAfter after the run has begun.
func (p *play) crashInTurn(able []*executor, task string, times int) {
	for range times {
		at := -1
		for at < 0 {
			time.Sleep(10 * time.Millisecond)
			at = slices.IndexFunc(able, func(e *executor) bool { return e.runs(task) })
		}
		time.Sleep(crashAfter)
		able[at].crash()
		time.Sleep(crashLasts)
		if err := able[at].restart(); err != nil {
			p.record.line("exec   %s can't restart: %v", able[at].name, err)
			return
		}
	}
}
