package gateway_test

import (
	"encoding/hex"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/discovery/relayer"
	"github.com/cottonlanding/cottonlanding/internal/golden/comparer"
	"github.com/cottonlanding/cottonlanding/internal/peer/wire"
	"github.com/cottonlanding/cottonlanding/internal/workflow/gateway"
)

// TestGoldenNames guards against changed row keys and partitions, which hosts of another version would not find, and
// against changed reasons in log lines.
func TestGoldenNames(t *testing.T) {
	comparer.RequireList(t, "Keys", gateway.LayoutKey, gateway.OperatorsKey, gateway.PartitionOf(7),
		gateway.OwnersPartition(0, 33), gateway.OwnersPartition(1, 33), gateway.OwnersPartition(1, 16))
	comparer.RequireList(t, "Obstacles", gateway.Rejections...)
}

// TestGoldenRelayedList guards against a relayed list of workers that a host of another version decodes differently.
func TestGoldenRelayedList(t *testing.T) {
	answer := relayer.Response{
		News: cottonlanding.FeedReading{
			Rows:  []cottonlanding.FeedRow{{Key: "text1", Value: []byte("text2"), Version: 3, Deleted: true}},
			Whole: true, Version: 4,
		},
		Age: -5,
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(gateway.ResponseToWire(answer))
	require.NoError(t, err)
	comparer.RequireList(t, "ListAnswer", hex.EncodeToString(data))
	golden, err := os.ReadFile("testdata/golden/ListAnswer.txt")
	require.NoError(t, err)
	kept, err := hex.DecodeString(strings.TrimSpace(string(golden)))
	require.NoError(t, err)
	var read wire.ListAnswer
	require.NoError(t, proto.Unmarshal(kept, &read))
	require.Equal(t, answer, gateway.ResponseFromWire(&read))
}
