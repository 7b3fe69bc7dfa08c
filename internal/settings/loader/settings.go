// Package loader reads and checks the settings of a process and the operators'
// declarative files.
package loader

import (
	"net"
	"os"
	"strconv"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/settings/decoder"
)

// Settings is what one daemon learns at its start.
type Settings struct {
	// DataCentre is where the host stands.
	DataCentre cottonlanding.DataCentre `yaml:"DataCentre"`
	// HTTPAddress is for callers and operators, PeerAddress for other daemons.
	HTTPAddress cottonlanding.Address `yaml:"HTTPAddress"`
	PeerAddress cottonlanding.Address `yaml:"PeerAddress"`
	// Platform is the address of the platform's services.
	Platform cottonlanding.Address `yaml:"Platform"`
	// Peers are peer addresses to try while the platform can't be reached.
	Peers []cottonlanding.Address `yaml:"Peers,omitempty"`
	// Seats is how many hosts of this data centre share the executors' slots.
	Seats int `yaml:"Seats,omitempty"`
	// CellsPerDataCentre must be the same on all hosts of a data centre.
	CellsPerDataCentre int    `yaml:"CellsPerDataCentre,omitempty"`
	Timing             Timing `yaml:"Timing,omitempty"`
}

// Timing holds the spans that the daemons of one deployment agree on.
type Timing struct {
	// SessionTTL is how long a daemon counts as alive without a renewal.
	SessionTTL cottonlanding.Millis `yaml:"SessionTTL,omitempty"`
	// LeaseTTL is how long a worker goes on without a renewal.
	LeaseTTL cottonlanding.Millis `yaml:"LeaseTTL,omitempty"`
	// CutOffGrace is how long an owner that can't reach the platform keeps its
	// workers going.
	CutOffGrace cottonlanding.Millis `yaml:"CutOffGrace,omitempty"`
	// Poll is how often the table is read for changes.
	Poll cottonlanding.Millis `yaml:"Poll,omitempty"`
	// CommitSpacing is the least time between two transactions of one daemon.
	CommitSpacing cottonlanding.Millis `yaml:"CommitSpacing,omitempty"`
	// JobRetention is how long final jobs can be looked up.
	JobRetention cottonlanding.Millis `yaml:"JobRetention,omitempty"`
}

// Defaults of the settings.
const (
	defaultSeats         = 3
	defaultCells         = 1
	defaultSessionTTL    = 3 * cottonlanding.Second
	defaultLeaseTTL      = 13 * cottonlanding.Second
	defaultCutOffGrace   = 15 * cottonlanding.Minute
	defaultPoll          = 500 * cottonlanding.Millis(1)
	defaultCommitSpacing = 100 * cottonlanding.Millis(1)
	defaultJobRetention  = 24 * 60 * cottonlanding.Minute
	// takeOverCalls is what a successor is given, beside the session's time and two
	// polls, for its calls from the first read that shows the end to its first
	// renewals: seven of the table and two of a worker, one after the other, of some
	// 200 ms each on a busy machine.
	takeOverCalls      = 2 * cottonlanding.Second
	shortestSessionTTL = 500 * cottonlanding.Millis(1)
	mostSeats          = 64
	mostCells          = 64
)

// LeastLeaseTTL returns the shortest LeaseTTL with which a successor renews before
// leases lapse. A lease runs from the reading of the renewal before the last, and is
// renewed each quarter, so that an owner that dies may leave only half of it. The
// successor sees the end a poll after the session's time, which it has lengthened by
// a tenth and has begun to count up to a poll late.
func (t *Timing) LeastLeaseTTL() cottonlanding.Millis {
	return 2 * (t.SessionTTL + t.SessionTTL/10 + 2*t.Poll + takeOverCalls)
}

// LoadSettings reads the settings of a process from a file.
func LoadSettings(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, err // names the file
	}
	return ParseSettings(file, data)
}

// ParseSettings reads settings from data; file is for messages.
func ParseSettings(file string, data []byte) (Settings, error) {
	var settings Settings
	document, err := decoder.Decode(file, data, &settings)
	if err != nil {
		return Settings{}, err
	}
	settings.fill()
	settings.check(document)
	if err := document.Err(); err != nil {
		return Settings{}, err
	}
	return settings, nil
}

func (s *Settings) fill() {
	fillIn(&s.Seats, defaultSeats)
	fillIn(&s.CellsPerDataCentre, defaultCells)
	s.Timing.fill()
}

func (t *Timing) fill() {
	fillIn(&t.SessionTTL, defaultSessionTTL)
	fillIn(&t.LeaseTTL, defaultLeaseTTL)
	fillIn(&t.CutOffGrace, defaultCutOffGrace)
	fillIn(&t.Poll, defaultPoll)
	fillIn(&t.CommitSpacing, defaultCommitSpacing)
	fillIn(&t.JobRetention, defaultJobRetention)
}

// DefaultTiming returns the spans used where a file gives none.
func DefaultTiming() Timing {
	var timing Timing
	timing.fill()
	return timing
}

func fillIn[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (s *Settings) check(document *decoder.Document) {
	checkName(document, "DataCentre", string(s.DataCentre))
	checkAddress(document, "HTTPAddress", s.HTTPAddress)
	checkAddress(document, "PeerAddress", s.PeerAddress)
	checkAddress(document, "Platform", s.Platform)
	for i, peer := range s.Peers {
		checkAddress(document, indexed("Peers", i), peer)
	}
	checkRange(document, "Seats", s.Seats, 1, mostSeats)
	checkRange(document, "CellsPerDataCentre", s.CellsPerDataCentre, 1, mostCells)
	if s.Timing.SessionTTL < shortestSessionTTL {
		document.Fault("Timing.SessionTTL", "%s is too short: at least %s", s.Timing.SessionTTL, shortestSessionTTL)
	}
	if least := s.Timing.LeastLeaseTTL(); s.Timing.LeaseTTL < least {
		document.Fault("Timing.LeaseTTL", "%s is too short for a SessionTTL of %s and a Poll of %s: at least %s, so that a new owner can renew before leases lapse",
			s.Timing.LeaseTTL, s.Timing.SessionTTL, s.Timing.Poll, least)
	}
	if s.Timing.Poll*2 > s.Timing.SessionTTL {
		document.Fault("Timing.Poll", "%s is too long: at most half of SessionTTL, %s", s.Timing.Poll, s.Timing.SessionTTL/2)
	}
}

func checkName(document *decoder.Document, path, name string) {
	if name == "" {
		document.Fault(path, "is missing")
		return
	}
	if err := cottonlanding.CheckName(name); err != nil {
		document.Fault(path, "%s", err)
	}
}

func checkAddress(document *decoder.Document, path string, address cottonlanding.Address) {
	if address == "" {
		document.Fault(path, "is missing: give an IP address and a port, such as 10.0.0.7:7100")
		return
	}
	host, port, err := net.SplitHostPort(string(address))
	number, portErr := strconv.ParseUint(port, 10, 16)
	if err != nil || net.ParseIP(host) == nil || portErr != nil || number == 0 {
		document.Fault(path, "%q is no IP address with a port, such as 10.0.0.7:7100", address)
	}
}

func checkRange(document *decoder.Document, path string, value, least, most int) {
	if value < least || value > most {
		document.Fault(path, "%d must lie between %d and %d", value, least, most)
	}
}

func indexed(path string, i int) string { return path + "[" + strconv.Itoa(i) + "]" }

// LocalIP returns the IP address from which the process makes connections.
func (s Settings) LocalIP() string {
	host, _, err := net.SplitHostPort(string(s.HTTPAddress))
	if err != nil {
		return ""
	}
	return host
}
