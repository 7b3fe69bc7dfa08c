package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["4"] = cancelledThenStarted }

const (
	// freezeLasts is how long a host stands still, patience how long the client waits for an answer.
	freezeLasts = 4 * time.Second
	patience    = 400 * time.Millisecond
	// freezes is how often the host stands still, betweenFreezes the least time between two of them.
	freezes        = 2
	betweenFreezes = 6 * time.Second
	// cancelBound is the time after the acknowledgement of a cancel from which no task may start.
	cancelBound = 3 * time.Second
)

// cancelledThenStarted hands in a job at a host that stands still for 4 s and doesn't drive the job's cell. The
// client gets no answer within its time, cancels the job at another host, and the cancel is acknowledged. No task of
// the job may start later than cancelBound after that.
func cancelledThenStarted(p *play) (bool, error) {
	if err := p.begin(4); err != nil {
		return false, err
	}
	for at := range 8 {
		if _, err := p.fleet.add(fmt.Sprintf("e%d", at), service, zones[at%3], []string{"a", fmt.Sprintf("r1-%d", 1+at/4)}, resources{CPU: 16_000, Memory: 64_000}); err != nil {
			return false, err
		}
	}
	if err := p.startHosts(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	const spec = "one short firing"
	p.works[spec] = work{resources{CPU: 4_000, Memory: 8_000}, 20 * time.Second}
	j := job{Spec: spec, Steps: []step{{Count: 2, CPU: 4_000, Memory: 8_000, Estimate: 20_000}}}
	// Which host drives the cell isn't visible from outside. One that stands still for 4 s loses the cell and refuses
	// the job when it wakes, so that the same host stands still once more.
	whole := true
	for at := range freezes {
		ok, err := p.cancelAround(p.hosts[0], p.hosts[1], fmt.Sprintf("00000000000000b%d", at), j)
		if err != nil {
			return false, err
		}
		whole = whole && ok
		time.Sleep(betweenFreezes)
	}
	return whole, nil
}

// cancelAround hands a job in at one host, which stands still, and cancels it at another.
func (p *play) cancelAround(frozen, other *host, id string, j job) (bool, error) {
	if p.trouble {
		frozen.signal(syscall.SIGSTOP)
	}
	frozenAt := time.Now()
	impatient := newClient(p.record)
	impatient.patience = patience
	impatient.call(frozen, http.MethodPost, id, j)
	var acknowledged time.Time
	for acknowledged.IsZero() {
		status, _ := p.client.call(other, http.MethodDelete, id, nil)
		switch {
		case status >= 200 && status < 300, status == http.StatusGone:
			acknowledged = time.Now()
		case time.Since(frozenAt) > 30*time.Second:
			return false, fmt.Errorf("the cancel of job %s isn't acknowledged within 30 s", id)
		default:
			time.Sleep(200 * time.Millisecond)
		}
	}
	time.Sleep(time.Until(frozenAt.Add(freezeLasts)))
	if p.trouble {
		frozen.signal(syscall.SIGCONT)
	}
	time.Sleep(8 * time.Second)
	late := p.fleet.startsAfter(id, acknowledged.Add(cancelBound))
	if late > 0 {
		p.record.line("check  %d tasks of job %s started later than %s after its cancel was acknowledged", late, id, cancelBound)
	}
	return late == 0, nil
}
