// Package allocator keeps the HTTP library from reusing its buffers.
//
// With the library's own pool, a connection that broke in the middle of a request
// had its buffer handed to another request while a handler still read it:
// callers got parts of each other's answers (see docs/design/http-library.md).
// Buffers that are left to the garbage collector can't be shared.
package allocator

import (
	"sync"

	"github.com/lesismal/nbio/mempool"
)

var once sync.Once

// Get returns the allocator for an engine and makes it the library's default.
// It must be called before the first engine is made.
func Get() mempool.Allocator {
	once.Do(func() { mempool.DefaultMemPool = mempool.NewSTD() })
	return mempool.DefaultMemPool
}
