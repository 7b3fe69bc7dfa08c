package writer

// AppendDropped is appendDropped with a count for each kind.
func AppendDropped(counts map[Kind]int) []byte {
	var dropped [kinds]int
	for kind, count := range counts {
		dropped[kind] = count
	}
	return appendDropped(nil, dropped)
}

// Kinds is how many kinds there are.
const Kinds = int(kinds)

// Reserved is reserved for golden tests.
var Reserved = reserved
