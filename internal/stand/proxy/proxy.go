// Package proxy stands between a process and what it calls, on loopback, and hurts
// the connections through it.
package proxy

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cottonlanding/cottonlanding"
)

// Trouble is what a proxy does to the connections through it.
type Trouble int

// The troubles.
const (
	None Trouble = iota
	// Delayed bytes arrive late, in both directions.
	Delayed
	// OneWay passes what callers send and keeps what comes back.
	OneWay
	// Silent passes nothing; connections stay open.
	Silent
	// Resetting ends all connections, and each new one at once.
	Resetting
	// Troubles is how many there are, with None.
	Troubles
)

const (
	delay = 300 * time.Millisecond
	// poll is how often bytes that are held back are looked at again.
	poll = 20 * time.Millisecond
	// connectTimeout bounds the connection to the target.
	connectTimeout = time.Second
)

// Proxy passes connections on to one target.
type Proxy struct {
	listener net.Listener
	target   string
	accepted atomic.Int64
	// kept and held count the connections that callers and the target hold open.
	kept atomic.Int64
	held atomic.Int64

	mu      sync.Mutex
	trouble Trouble
	pairs   map[*pair]bool
}

// pair is a caller's connection and the one to the target.
type pair struct {
	caller, target net.Conn
	// silenced is set once nothing passes any more.
	silenced atomic.Bool
}

// New starts a proxy to a target.
func New(target cottonlanding.Address) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for callers: %w", err)
	}
	p := &Proxy{listener: listener, target: string(target), pairs: make(map[*pair]bool)}
	go p.run()
	return p, nil
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close() // nothing more is accepted in any case
	p.Set(Resetting)
}

// Address is where callers connect.
func (p *Proxy) Address() cottonlanding.Address {
	return cottonlanding.Address(p.listener.Addr().String())
}

// Accepted counts the connections so far.
func (p *Proxy) Accepted() int { return int(p.accepted.Load()) }

// Kept counts the connections that callers hold open.
func (p *Proxy) Kept() int { return int(p.kept.Load()) }

// Held counts the connections that the target holds open.
func (p *Proxy) Held() int { return int(p.held.Load()) }

// Set changes what the proxy does from now on.
func (p *Proxy) Set(now Trouble) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trouble = now
	if now != Resetting {
		return
	}
	for one := range p.pairs {
		reset(one.caller)
		reset(one.target)
	}
}

// Silence makes all open connections silent for good: neither bytes nor an end
// pass any more, in either direction. New connections work.
func (p *Proxy) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for one := range p.pairs {
		one.silenced.Store(true)
	}
}

func (p *Proxy) now() Trouble {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.trouble
}

// reset closes a connection so that the other side sees a reset.
func reset(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // then it ends without one
	}
	_ = connection.Close() // it may have ended
}

func (p *Proxy) run() {
	for {
		caller, err := p.listener.Accept()
		if err != nil {
			return // the proxy is closed
		}
		p.accepted.Add(1)
		if p.now() == Resetting {
			reset(caller)
			continue
		}
		go p.serve(caller)
	}
}

func (p *Proxy) serve(caller net.Conn) {
	target, err := net.DialTimeout("tcp", p.target, connectTimeout)
	if err != nil {
		reset(caller)
		return
	}
	one := &pair{caller: caller, target: target}
	p.mu.Lock()
	p.pairs[one] = true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.pipe(one, target, caller, false, &p.kept) })
	both.Go(func() { p.pipe(one, caller, target, true, &p.held) })
	both.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pairs, one)
}

// pipe copies from one side to the other, as the trouble of each moment has it,
// until one of them ends. It is counted among those that are open.
func (p *Proxy) pipe(one *pair, to, from net.Conn, answers bool, open *atomic.Int64) {
	open.Add(1)
	defer func() {
		open.Add(-1)
		reset(from)
		if !one.silenced.Load() {
			reset(to)
		}
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.hold(one, answers)
		}
		if n > 0 && !one.silenced.Load() {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// hold waits for as long as bytes of a direction are held back.
func (p *Proxy) hold(one *pair, answers bool) {
	if p.now() == Delayed {
		time.Sleep(delay)
	}
	for now := p.now(); (now == Silent || now == OneWay && answers) && !one.silenced.Load(); now = p.now() {
		time.Sleep(poll)
	}
}
