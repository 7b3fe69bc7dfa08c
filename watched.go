package cottonlanding

import "strings"

// WatchedPrefix begins the names of the rows that a table's feed reports. All hosts need them soon and
// they change rarely, so that a feed costs less than polling.
const WatchedPrefix = "Watched/"

// Watched reports whether the table's feed reports the row.
func (k Key) Watched() bool { return strings.HasPrefix(k.Name(), WatchedPrefix) }
