package cottonlanding

// Evacuation says that nothing new starts in a data centre until operators revoke it. What runs there
// continues.
type Evacuation struct {
	DataCentre DataCentre
	// Version is the version of the operators' table at which the evacuation was ordered. An
	// evacuation that is revoked and ordered again at once is another one, with another version.
	Version Version
	// KnownAt is when this host learnt of it.
	KnownAt Millis
}

// Evacuations is the result of one read of the operators' table. It is immutable.
type Evacuations struct {
	// ReadAt is the instant as of which it is complete; zero if nothing was read yet.
	ReadAt  Millis
	InForce map[DataCentre]Evacuation
}

// Includes reports whether a data centre is evacuated, so that nothing new may start there.
func (e Evacuations) Includes(dataCentre DataCentre) bool {
	_, found := e.InForce[dataCentre]
	return found
}

// Age returns the time since ReadAt.
func (e Evacuations) Age(now Millis) Millis { return now - e.ReadAt }
