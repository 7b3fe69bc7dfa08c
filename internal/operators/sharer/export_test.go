package sharer

// TableCopy exports tableCopy for tests of the format.
type TableCopy = tableCopy

// Pack and Unpack export pack and unpack for tests of the format.
var (
	Pack   = tableCopy.pack
	Unpack = unpack
)
