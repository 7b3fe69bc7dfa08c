package sharer

import (
	"bytes"
	"compress/gzip"
	"encoding/gob"
	"fmt"
	"io"

	"github.com/cottonlanding/cottonlanding"
)

const (
	// maxPacked is the maximum length of a written copy, in bytes: the store accepts rows of 64 KiB, including
	// what precedes the value.
	maxPacked = 65_000
	// maxUnpacked is the maximum unpacked length, in bytes, so that a broken copy can't exhaust memory.
	maxUnpacked = 16 << 20
)

// tableCopy is the operators' table as of a version. It is encoded with gob under the names of its fields.
type tableCopy struct {
	Version cottonlanding.Version
	Rows    []cottonlanding.FeedRow
}

// pack encodes a copy as it is stored in a row. Operators' rows are repetitive texts, which compress to about a
// seventh. It returns an error if the result is longer than maxPacked.
func (c tableCopy) pack() ([]byte, error) {
	var out bytes.Buffer
	compressor := gzip.NewWriter(&out)
	if err := gob.NewEncoder(compressor).Encode(c); err != nil {
		return nil, fmt.Errorf("encode a copy: %w", err)
	}
	if err := compressor.Close(); err != nil {
		return nil, fmt.Errorf("pack a copy: %w", err)
	}
	if out.Len() > maxPacked {
		return nil, fmt.Errorf("a copy has %d bytes, at most %d can be written", out.Len(), maxPacked)
	}
	return out.Bytes(), nil
}

// unpack decodes the copy that a row holds.
func unpack(packed []byte) (tableCopy, error) {
	decompressor, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return tableCopy{}, fmt.Errorf("unpack a copy: %w", err)
	}
	var out tableCopy
	if err := gob.NewDecoder(io.LimitReader(decompressor, maxUnpacked)).Decode(&out); err != nil {
		return tableCopy{}, fmt.Errorf("decode a copy: %w", err)
	}
	return out, nil
}

// asReading returns the copy as a reading of the whole table. At stays zero: only a host's own reads of the table
// establish the time as of which it is known.
func (c tableCopy) asReading() cottonlanding.FeedReading {
	return cottonlanding.FeedReading{Rows: c.Rows, Whole: true, Version: c.Version}
}
