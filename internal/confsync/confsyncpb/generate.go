// Package confsyncpb defines the wire encoding of the messages of package confsync. The generated code is committed.
package confsyncpb

//go:generate sh -c "go build -o ../../../bin/protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go && protoc --plugin=../../../bin/protoc-gen-go --go_out=. --go_opt=paths=source_relative *.proto"
