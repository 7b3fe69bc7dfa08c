// Package recorder holds which data centres the operators want evacuated.
package recorder

import (
	"log/slog"
	"maps"
	"strings"
	"sync"

	"github.com/cottonlanding/cottonlanding"
)

// Recorder holds which data centres the operators want evacuated. The row alone orders an
// evacuation, whatever its value, and its removal takes it back. A reading that is older than
// what is known of a data centre changes nothing.
type Recorder struct {
	prefix string
	clock  cottonlanding.Clock
	log    *slog.Logger

	mu      sync.Mutex
	current cottonlanding.Evacuations
	// versions holds as of which version it is known whether a data centre is evacuated.
	versions map[cottonlanding.DataCentre]cottonlanding.Version
}

// New returns a recorder of no reading yet. The prefix begins the keys of evacuations; the data
// centre follows.
func New(prefix string, clock cottonlanding.Clock, log *slog.Logger) *Recorder {
	return &Recorder{
		prefix:   prefix,
		clock:    clock,
		log:      log,
		versions: make(map[cottonlanding.DataCentre]cottonlanding.Version),
	}
}

// Current returns the newest state.
func (r *Recorder) Current() cottonlanding.Evacuations {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current
}

// Apply takes in a reading of the operators' table.
func (r *Recorder) Apply(reading cottonlanding.FeedReading) {
	r.mu.Lock()
	defer r.mu.Unlock()
	inForce := maps.Clone(r.current.InForce)
	if inForce == nil {
		inForce = make(map[cottonlanding.DataCentre]cottonlanding.Evacuation)
	}
	present := make(map[cottonlanding.DataCentre]bool)
	for _, row := range reading.Rows {
		name, found := strings.CutPrefix(row.Key, r.prefix)
		if !found {
			continue
		}
		if name == "" {
			r.log.Error("evacuation refused", "Key", row.Key, "Error", "it names no data centre")
			continue
		}
		dataCentre := cottonlanding.DataCentre(name)
		present[dataCentre] = true
		r.set(inForce, dataCentre, row.Version, !row.Deleted)
	}
	if reading.Whole {
		for dataCentre := range r.current.InForce {
			if !present[dataCentre] {
				r.set(inForce, dataCentre, reading.Version, false)
			}
		}
	}
	r.current = cottonlanding.Evacuations{ReadAt: max(r.current.ReadAt, reading.At), InForce: inForce}
}

// set takes in whether a data centre is evacuated as of a version.
func (r *Recorder) set(inForce map[cottonlanding.DataCentre]cottonlanding.Evacuation, dataCentre cottonlanding.DataCentre, version cottonlanding.Version, evacuated bool) {
	if version < r.versions[dataCentre] {
		return
	}
	r.versions[dataCentre] = version
	last, found := inForce[dataCentre]
	if !evacuated {
		delete(inForce, dataCentre)
		if found {
			r.log.Info("evacuation over", "DataCentre", dataCentre, "Version", version, "KnownFor", r.clock.Now()-last.KnownAt)
		}
		return
	}
	if found && last.Version == version {
		return
	}
	inForce[dataCentre] = cottonlanding.Evacuation{DataCentre: dataCentre, Version: version, KnownAt: r.clock.Now()}
	r.log.Info("evacuation known", "DataCentre", dataCentre, "Version", version)
}
