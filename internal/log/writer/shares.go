package writer

// reserved is how many of linesPerSecond each kind has for itself; whoever has used up its own takes of the rest.
var reserved = [kinds]int{General: 250, Requests: 100, Tasks: 200, Lasting: 200, Owners: 100, Warnings: 150}

// shares divides a bound among the kinds.
type shares struct {
	reserved [kinds]int
	common   int
}

// newShares divides a bound as reserved divides linesPerSecond.
func newShares(bound int) shares {
	s := shares{common: bound}
	for kind := range kinds {
		s.reserved[kind] = bound * reserved[kind] / linesPerSecond
		s.common -= s.reserved[kind]
	}
	return s
}

// use is what the kinds have taken of their shares.
type use struct {
	reserved [kinds]int
	common   int
}

// take takes an amount for a kind, from its own share first, and reports whether there was enough.
func (u *use) take(kind Kind, amount int, of shares) bool {
	switch {
	case u.reserved[kind]+amount <= of.reserved[kind]:
		u.reserved[kind] += amount
	case u.common+amount <= of.common:
		u.common += amount
	default:
		return false
	}
	return true
}

// takeAny is take for what has no kind: it takes of all shares in turn.
func (u *use) takeAny(first Kind, amount int, of shares) bool {
	if u.take(first, amount, of) {
		return true
	}
	for kind := range kinds {
		if u.take(kind, amount, of) {
			return true
		}
	}
	return false
}
