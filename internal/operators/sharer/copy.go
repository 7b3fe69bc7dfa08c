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
	// maxPacked is the longest copy that is written, in bytes: the table takes rows of 64 KiB, with
	// what is put before the value.
	maxPacked = 65_000
	// maxUnpacked bounds what a copy may come to: a broken one must not take all memory.
	maxUnpacked = 16 << 20
)

// tableCopy is the operators' table as of a version.
type tableCopy struct {
	Version cottonlanding.Version
	Rows    []cottonlanding.FeedRow
}

// pack returns a copy as it is written into a row. Operators' rows are texts that repeat
// themselves, of which some seventh is left.
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

// unpack returns the copy that a row holds.
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

// asReading returns the copy as a asReading of the whole table. It doesn't say as of when on this
// host's clock the table is known: that is for the host's own looks.
func (c tableCopy) asReading() cottonlanding.FeedReading {
	return cottonlanding.FeedReading{Rows: c.Rows, Whole: true, Version: c.Version}
}
