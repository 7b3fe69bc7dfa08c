// Package comparer compares what leaves a process with golden files. Only tests use it.
package comparer

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// JSON compares, for each type, the encoded forms of a value whose fields are all filled and of the zero value with the
// two entries of testdata/golden/NAME.json. It requires those to be decoded as the same values. types holds any value of
// each type by NAME.
func JSON(t *testing.T, encode func(any) []byte, types map[string]any) {
	t.Helper()
	for name, example := range types {
		t.Run(name, func(t *testing.T) {
			filled, zero := reflect.New(reflect.TypeOf(example)).Elem(), reflect.Zero(reflect.TypeOf(example))
			count := 0
			fill(t, filled, &count)
			golden := read(t, name+".json")
			entries := [][]byte{encode(filled.Interface()), encode(zero.Interface())}
			require.Equal(t, golden, indented(t, entries))
			var kept []json.RawMessage
			require.NoError(t, json.Unmarshal([]byte(golden), &kept))
			for at, want := range []reflect.Value{filled, zero} {
				decoded := reflect.New(want.Type())
				require.NoError(t, json.Unmarshal(kept[at], decoded.Interface()))
				require.Equal(t, want.Interface(), decoded.Elem().Interface())
			}
		})
	}
}

// RequireList compares the lines, each of which is printed as by fmt.Sprint, with testdata/golden/NAME.txt.
func RequireList(t *testing.T, name string, lines ...any) {
	t.Helper()
	var out strings.Builder
	for _, line := range lines {
		fmt.Fprintln(&out, line)
	}
	require.Equal(t, read(t, name+".txt"), out.String())
}

func read(t *testing.T, name string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", "golden", name))
	require.NoError(t, err)
	return string(data)
}

// indented returns the entries as a list, over several lines and otherwise as they are.
func indented(t *testing.T, entries [][]byte) string {
	t.Helper()
	var out bytes.Buffer
	list := append(append([]byte("["), bytes.Join(entries, []byte(","))...), ']')
	require.NoError(t, json.Indent(&out, list, "", "  "))
	return out.String() + "\n"
}

// fill sets all exported fields to values that aren't zero. They differ, except those of bools; count numbers them.
func fill(t *testing.T, value reflect.Value, count *int) {
	t.Helper()
	*count++
	switch value.Kind() {
	case reflect.Struct:
		for at := range value.NumField() {
			if value.Type().Field(at).IsExported() {
				fill(t, value.Field(at), count)
			}
		}
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		fill(t, value.Elem(), count)
	case reflect.Slice:
		if value.Type().Elem().Kind() == reflect.Uint8 {
			value.SetBytes(fmt.Appendf(nil, "%d", *count)) // is JSON as well
			return
		}
		value.Set(reflect.MakeSlice(value.Type(), 1, 1))
		fill(t, value.Index(0), count)
	case reflect.Map:
		key, entry := reflect.New(value.Type().Key()).Elem(), reflect.New(value.Type().Elem()).Elem()
		fill(t, key, count)
		fill(t, entry, count)
		value.Set(reflect.MakeMap(value.Type()))
		value.SetMapIndex(key, entry)
	case reflect.String:
		value.SetString(fmt.Sprintf("text%d", *count))
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Int, reflect.Int64:
		value.SetInt(int64(*count))
	case reflect.Uint32, reflect.Uint64:
		value.SetUint(uint64(*count))
	case reflect.Float64:
		value.SetFloat(float64(*count) + 0.5)
	default:
		t.Fatalf("no value for a %s", value.Type())
	}
}
