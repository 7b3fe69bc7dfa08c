package listener_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/web/listener"
)

// limited serves slowEcho with limits.
func limited(t *testing.T, limits listener.Limits) cottonlanding.Address {
	address := freeAddress(t)
	server, err := listener.NewLimited(http.HandlerFunc(slowEcho), limits, address)
	require.NoError(t, err)
	t.Cleanup(func() { closeSoon(server) })
	return address
}

func dial(t *testing.T, address cottonlanding.Address) net.Conn {
	connection, err := net.Dial("tcp", string(address))
	require.NoError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	require.NoError(t, connection.SetDeadline(time.Now().Add(10*time.Second)))
	return connection
}

func post(body string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// exchange sends a request and returns the status, the retry time and the body of the answer.
func exchange(t *testing.T, connection net.Conn, request string) (status int, retryAfter, body string) {
	_, err := io.WriteString(connection, request)
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	require.NoError(t, err)
	data, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, response.Header.Get("Retry-After"), string(data)
}

// TestOrdinaryConnectionsStay guards against a crowd that takes all connections, or because of which the connection of an
// ordinary client is closed.
func TestOrdinaryConnectionsStay(t *testing.T) {
	const most = 8
	address := limited(t, listener.Limits{Connections: most})
	ordinary := dial(t, address)
	_, _, body := exchange(t, ordinary, post("first"))
	require.Equal(t, "first", body)
	var crowd []net.Conn
	for number := range 5 * most {
		hostile := dial(t, address)
		_, err := io.WriteString(hostile, post("body")[:number%20])
		require.NoError(t, err)
		crowd = append(crowd, hostile)
		if number%most == 0 {
			status, _, body := exchange(t, dial(t, address), post("new caller"))
			require.Equal(t, http.StatusOK, status)
			require.Equal(t, "new caller", body)
		}
	}
	_, _, body = exchange(t, ordinary, post("second"))
	require.Equal(t, "second", body, "its connection is still open")
	response, err := http.ReadResponse(bufio.NewReader(crowd[5]), nil)
	require.NoError(t, err, "one that sent part of a request and gave way is told when to come back")
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Equal(t, "1", response.Header.Get("Retry-After"))
}

// TestWholeRequestsStay guards against a whole request that gives way to one that isn't, and against a refusal that doesn't
// say when to come back.
func TestWholeRequestsStay(t *testing.T) {
	const most = 4
	address := freeAddress(t)
	release := make(chan struct{})
	server, err := listener.NewLimited(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		<-release
		w.WriteHeader(http.StatusOK)
	}), listener.Limits{Connections: most}, address)
	require.NoError(t, err)
	t.Cleanup(func() { closeSoon(server) })
	var whole []net.Conn
	for range most {
		connection := dial(t, address)
		_, err := io.WriteString(connection, post("whole"))
		require.NoError(t, err)
		whole = append(whole, connection)
	}
	time.Sleep(200 * time.Millisecond) // they are being served
	response, err := http.ReadResponse(bufio.NewReader(dial(t, address)), nil)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Equal(t, "1", response.Header.Get("Retry-After"))
	close(release)
	for _, connection := range whole {
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, http.StatusOK, response.StatusCode)
	}
}

// TestRequestsShareMemory guards against bodies that stop short of their end and keep others from being served.
func TestRequestsShareMemory(t *testing.T) {
	const size = 100_000
	address := limited(t, listener.Limits{Memory: 10 * size * 4})
	for range 50 {
		_, err := io.WriteString(dial(t, address), post(strings.Repeat("x", size))[:size])
		require.NoError(t, err)
	}
	status, _, body := exchange(t, dial(t, address), post(strings.Repeat("y", size)))
	require.Equal(t, http.StatusOK, status)
	require.Len(t, body, size)
	status, retryAfter, _ := exchange(t, dial(t, address), post(strings.Repeat("z", 20*size)))
	require.Equal(t, http.StatusServiceUnavailable, status, "it needs more than there is")
	require.Equal(t, "1", retryAfter)
}

// TestRequestLimits guards against requests beyond the limits of the configuration, which may change, and against limits
// that a request within them meets.
func TestRequestLimits(t *testing.T) {
	limits := listener.RequestLimits{Head: 16384, Body: 1000}
	address := limited(t, listener.Limits{Request: func() listener.RequestLimits { return limits }})
	head := func(bytes int) string {
		return "GET / HTTP/1.1\r\nHost: x\r\nX-Long: " + strings.Repeat("l", bytes) + "\r\n\r\n"
	}
	chunked := func(bytes int) string {
		return fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\nX-Trailer: t\r\n\r\n", bytes, strings.Repeat("c", bytes))
	}
	for _, one := range []struct {
		request string
		status  int
	}{
		{post(strings.Repeat("x", 1000)), http.StatusOK},
		{post(strings.Repeat("x", 1001)), http.StatusRequestEntityTooLarge},
		{chunked(1000), http.StatusOK},
		{chunked(1001), http.StatusRequestEntityTooLarge},
		{head(16000), http.StatusOK},
		{head(24000), http.StatusRequestHeaderFieldsTooLarge},
	} {
		status, _, _ := exchange(t, dial(t, address), one.request)
		require.Equal(t, one.status, status, "%.80q", one.request)
	}
}

// TestHalfClosedClientsAreAnswered guards against a client that gets no answer since it has closed its sending side.
func TestHalfClosedClientsAreAnswered(t *testing.T) {
	connection := dial(t, limited(t, listener.Limits{}))
	_, err := io.WriteString(connection, post("half"))
	require.NoError(t, err)
	require.NoError(t, connection.(*net.TCPConn).CloseWrite())
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	require.NoError(t, err)
	data, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, "half", string(data))
}

// TestLimitsOfProcesses guards against limits that don't fit the memory or the descriptors of a process, or that clients
// within the limits of a deployment meet.
func TestLimitsOfProcesses(t *testing.T) {
	const largestBody, headCharge = 262_144, 32
	for _, one := range []struct {
		memory      cottonlanding.Bytes
		descriptors int
	}{{0, 0}, {160 * cottonlanding.Megabyte, 4100}, {284 * cottonlanding.Megabyte, 4100}, {536 * cottonlanding.Megabyte, 8192}, {284 * cottonlanding.Megabyte, 300}} {
		limits := listener.For(one.memory, one.descriptors)
		memory, descriptors := max(one.memory, 160*cottonlanding.Megabyte), one.descriptors
		if descriptors == 0 {
			descriptors = 4096
		}
		require.LessOrEqual(t, limits.Connections, (descriptors-200)/2)
		require.LessOrEqual(t, 2*limits.Memory, memory)
		require.GreaterOrEqual(t, limits.Connections, min(250, (descriptors-200)/2))
		require.GreaterOrEqual(t, limits.Memory, cottonlanding.Bytes(16*4*largestBody+headCharge*16384), "16 of the largest bodies at once")
	}
}

// TestCloseDoesNotWaitForUnusedConnections guards against a stop that waits for connections on which no request was sent
// yet, and against one that cuts off a whole request.
func TestCloseDoesNotWaitForUnusedConnections(t *testing.T) {
	address := freeAddress(t)
	begun, release := make(chan struct{}), make(chan struct{})
	server, err := listener.New(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		<-release
		w.WriteHeader(http.StatusOK)
	}), address)
	require.NoError(t, err)
	for range 3 {
		dial(t, address)
	}
	busy := dial(t, address)
	_, err = io.WriteString(busy, post("whole"))
	require.NoError(t, err)
	<-begun
	time.AfterFunc(100*time.Millisecond, func() { close(release) })
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	require.NoError(t, server.Close(ctx))
	response, err := http.ReadResponse(bufio.NewReader(busy), nil)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusOK, response.StatusCode)
}
