// Package wire defines the messages between gateways and their framing.
//
// The generated code is committed, so that a build needs neither protoc nor its Go plugin.
package wire

//go:generate sh -c "go build -o ../../bin/protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go && protoc --plugin=../../bin/protoc-gen-go --go_out=. --go_opt=paths=source_relative *.proto"
