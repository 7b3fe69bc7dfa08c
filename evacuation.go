package cottonlanding

// Evacuation says that nothing new starts in a data centre until the operators take that
// back. What runs there goes on.
type Evacuation struct {
	DataCentre DataCentre
	// Version is the table's as of which the evacuation was ordered: one that is taken back
	// and ordered again within a moment is another one.
	Version Version
	// KnownAt is when this host came to know of it.
	KnownAt Millis
}

// Evacuations is what one reading of the operators' table tells. It is never changed.
type Evacuations struct {
	// ReadAt is as of when it is complete; zero says that nothing was read yet.
	ReadAt Millis
	// InForce holds those in force.
	InForce map[DataCentre]Evacuation
}

// Includes reports whether nothing new may start in a data centre.
func (e Evacuations) Includes(dataCentre DataCentre) bool {
	_, found := e.InForce[dataCentre]
	return found
}

// Age returns how old the reading is.
func (e Evacuations) Age(now Millis) Millis { return now - e.ReadAt }
