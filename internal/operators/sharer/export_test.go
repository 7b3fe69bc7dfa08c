package sharer

// TableCopy is the operators' table as of a version, for tests of the format.
type TableCopy = tableCopy

// Pack and Unpack are pack and unpack for tests of the format.
var (
	Pack   = tableCopy.pack
	Unpack = unpack
)
