// Package recorder keeps the evacuations of data centres that operators have ordered.
package recorder

import (
	"log/slog"
	"maps"
	"strings"
	"sync"

	"github.com/cottonlanding/cottonlanding"
)

// Recorder keeps the evacuations in force. The existence of a row orders an evacuation, whatever its value, and its
// removal ends it. A row older than the last known version of its data centre is ignored.
type Recorder struct {
	prefix string
	clock  cottonlanding.Clock
	log    *slog.Logger

	mu      sync.Mutex
	current cottonlanding.Evacuations
	// versions holds the version as of which the state of each data centre is known.
	versions map[cottonlanding.DataCentre]cottonlanding.Version
}

// New returns a recorder without any reading. The key of an evacuation is prefix followed by the data centre.
func New(prefix string, clock cottonlanding.Clock, log *slog.Logger) *Recorder {
	return &Recorder{
		prefix:   prefix,
		clock:    clock,
		log:      log,
		versions: make(map[cottonlanding.DataCentre]cottonlanding.Version),
	}
}

// Current returns the evacuations in force and when they were read. The caller must not change the map.
func (r *Recorder) Current() cottonlanding.Evacuations {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current
}

// Apply merges a reading of the operators' table. Rows of other kinds are ignored.
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
			if row.Version > r.versions[""] {
				r.versions[""] = row.Version
				r.log.Error("evacuation refused", "Key", row.Key, "Error", "it names no data centre")
			}
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

// set records in inForce whether a data centre is evacuated as of version. The caller holds the lock.
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
