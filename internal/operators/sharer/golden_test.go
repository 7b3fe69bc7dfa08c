package sharer_test

import (
	"bytes"
	"compress/gzip"
	"io"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/golden/comparer"
	"github.com/cottonlanding/cottonlanding/internal/operators/sharer"
)

// TestGoldenCopy guards against a change of the copy's encoding, which hosts of other versions would misread. It
// compares the uncompressed data, as compressors may differ in their output.
func TestGoldenCopy(t *testing.T) {
	original := sharer.TableCopy{Version: 1, Rows: []cottonlanding.FeedRow{{Key: "text2", Value: []byte("text3"), Version: 4, Deleted: true}}}
	packed, err := sharer.Pack(original)
	require.NoError(t, err)
	unpacker, err := gzip.NewReader(bytes.NewReader(packed))
	require.NoError(t, err)
	data, err := io.ReadAll(unpacker)
	require.NoError(t, err)
	comparer.RequireList(t, "Copy", strconv.Quote(string(data)))

	golden, err := os.ReadFile("testdata/golden/Copy.txt")
	require.NoError(t, err)
	encoded, err := strconv.Unquote(strings.TrimSpace(string(golden)))
	require.NoError(t, err)
	var repacked bytes.Buffer
	packer := gzip.NewWriter(&repacked)
	_, err = packer.Write([]byte(encoded))
	require.NoError(t, err)
	require.NoError(t, packer.Close())
	read, err := sharer.Unpack(repacked.Bytes())
	require.NoError(t, err)
	require.Equal(t, original, read)
}
