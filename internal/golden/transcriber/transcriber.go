// Package transcriber writes down what processes send and compares texts with golden files, for
// tests.
package transcriber

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
)

// changing are the headers that HTTP itself sets.
var changing = []string{"Accept-Encoding", "Content-Length", "Date", "User-Agent"}

// RequireFile requires a text to be exactly that of a golden file of the test's package.
func RequireFile(t testing.TB, name, got string) {
	t.Helper()
	require.Equal(t, string(Golden(t, name)), got, "differs from testdata/golden/%s", name)
}

// Golden returns a golden file of the test's package.
func Golden(t testing.TB, name string) []byte {
	t.Helper()
	want, err := os.ReadFile(filepath.Join("testdata", "golden", name))
	require.NoError(t, err)
	return want
}

// Indent returns JSON with its keys in order, one a line, and any other text as it is.
func Indent(body []byte) string {
	var out bytes.Buffer
	if err := json.Indent(&out, body, "", "  "); err != nil {
		return string(body)
	}
	return out.String()
}

// Value returns how a value is encoded as JSON.
func Value(t testing.TB, value any) string {
	t.Helper()
	data, err := json.Marshal(value)
	require.NoError(t, err)
	return Indent(data) + "\n"
}

// RoundTrip compares a filled and a zero value of a type, as they are encoded, with a golden
// file, and requires the filled one to be decoded as it was.
func RoundTrip[T any](t testing.TB, name string) {
	t.Helper()
	var filled, zero, decoded T
	number := 0
	fill(reflect.ValueOf(&filled).Elem(), &number)
	RequireFile(t, name+".json", Value(t, filled))
	RequireFile(t, name+"-zero.json", Value(t, zero))
	require.NoError(t, json.Unmarshal(Golden(t, name+".json"), &decoded))
	require.Equal(t, filled, decoded)
}

// fill sets all that JSON shows of a value to numbers and texts that differ; maps and slices get
// one entry.
func fill(value reflect.Value, number *int) {
	*number++
	switch value.Kind() {
	case reflect.Bool:
		value.SetBool(true)
	case reflect.String:
		value.SetString(fmt.Sprintf("s%d", *number))
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		value.SetInt(int64(*number))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		value.SetUint(uint64(*number))
	case reflect.Float32, reflect.Float64:
		value.SetFloat(float64(*number) + 0.5)
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		fill(value.Elem(), number)
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), 1, 1))
		fill(value.Index(0), number)
	case reflect.Map:
		key, element := reflect.New(value.Type().Key()).Elem(), reflect.New(value.Type().Elem()).Elem()
		fill(key, number)
		fill(element, number)
		value.Set(reflect.MakeMap(value.Type()))
		value.SetMapIndex(key, element)
	case reflect.Struct:
		for at := range value.NumField() {
			if field := value.Type().Field(at); field.IsExported() && field.Tag.Get("json") != "-" {
				fill(value.Field(at), number)
			}
		}
	default:
		panic(fmt.Sprintf("no value for %s", value.Type()))
	}
}

// JoinLines returns a line for each text.
func JoinLines(texts []string) string { return strings.Join(texts, "\n") + "\n" }

// Gauges is a function for gauges and the list of what it was given.
type Gauges []string

// Set notes a gauge.
func (g *Gauges) Set(name string, value float64) { *g = append(*g, fmt.Sprintf("%s %v", name, value)) }

// Listing returns the gauges by name, one a line.
func (g *Gauges) Listing() string { return JoinLines(slices.Sorted(slices.Values(*g))) }

// Reply is how a Stand answers.
type Reply struct {
	Status int
	Header map[string]string
	Body   string
}

// Stand stands in for another process: it writes down calls and gives the replies of a test.
type Stand struct {
	server *httptest.Server

	mu    sync.Mutex
	calls strings.Builder
	reply Reply
}

// New returns a stand that answers 200 with an empty body.
func New(t testing.TB) *Stand {
	s := &Stand{reply: Reply{Status: http.StatusOK}}
	s.server = httptest.NewServer(s)
	t.Cleanup(s.server.Close)
	return s
}

// Address returns where the stand listens.
func (s *Stand) Address() cottonlanding.Address {
	return cottonlanding.Address(strings.TrimPrefix(s.server.URL, "http://"))
}

// Answer sets how calls are answered from now on.
func (s *Stand) Answer(reply Reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reply = reply
}

// Calls returns the calls so far: method and path, headers, body.
func (s *Stand) Calls() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls.String()
}

// ServeHTTP implements http.Handler.
func (s *Stand) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler) // the connection broke in the middle of the call
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(&s.calls, "%s %s\n%s%s\n\n", r.Method, r.URL.RequestURI(), headers(r.Header), Indent(body))
	for name, value := range s.reply.Header {
		w.Header().Set(name, value)
	}
	w.WriteHeader(s.reply.Status)
	_, _ = io.WriteString(w, s.reply.Body) // the caller tells of an answer that is cut short
}

// Response returns an answer as text: status, headers, body.
func Response(recorded *httptest.ResponseRecorder) string {
	return fmt.Sprintf("%d\n%s%s\n", recorded.Code, headers(recorded.Header()), Indent(recorded.Body.Bytes()))
}

func headers(all http.Header) string {
	out := ""
	for name, values := range all {
		if !slices.Contains(changing, name) {
			out += fmt.Sprintf("%s: %s\n", name, strings.Join(values, ", "))
		}
	}
	lines := strings.SplitAfter(out, "\n")
	slices.Sort(lines)
	return strings.Join(lines, "")
}
