// Package wire holds the generated messages between daemons.
package wire

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative peer.proto workflow.proto
