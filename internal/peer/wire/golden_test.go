package wire_test

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/cottonlanding/cottonlanding/internal/golden/transcriber"
	"github.com/cottonlanding/cottonlanding/internal/peer/wire"
)

// TestGoldenDescriptors guards against another service, method, message, field, number or code in
// the messages between processes, of which those of two builds would no longer understand each
// other.
func TestGoldenDescriptors(t *testing.T) {
	var lines []string
	add := func(format string, arguments ...any) { lines = append(lines, fmt.Sprintf(format, arguments...)) }
	for _, file := range []protoreflect.FileDescriptor{wire.File_peer_proto, wire.File_workflow_proto} {
		add("file %s, package %s", file.Path(), file.Package())
		for at := range file.Services().Len() {
			service := file.Services().Get(at)
			for at := range service.Methods().Len() {
				method := service.Methods().Get(at)
				add("method %s/%s(%s) returns %s, streams %t %t", service.FullName(), method.Name(), method.Input().FullName(),
					method.Output().FullName(), method.IsStreamingClient(), method.IsStreamingServer())
			}
		}
		for at := range file.Messages().Len() {
			message := file.Messages().Get(at)
			add("message %s", message.FullName())
			for at := range message.Fields().Len() {
				field := message.Fields().Get(at)
				kind := field.Kind().String()
				if field.Message() != nil {
					kind = string(field.Message().FullName())
				}
				if field.Enum() != nil {
					kind = string(field.Enum().FullName())
				}
				add("  %d %s %s %s", field.Number(), field.Name(), field.Cardinality(), kind)
			}
		}
		for at := range file.Enums().Len() {
			enum := file.Enums().Get(at)
			add("enum %s", enum.FullName())
			for at := range enum.Values().Len() {
				add("  %d %s", enum.Values().Get(at).Number(), enum.Values().Get(at).Name())
			}
		}
	}
	transcriber.RequireFile(t, "descriptors.txt", transcriber.JoinLines(lines))
}
