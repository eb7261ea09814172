// Package controller implements the control plane of a gateway, which runs in one goroutine. It follows the store,
// takes part in the election and, while this gateway is elected, assigns keys to backend servers. After each change it
// publishes a snapshot for the data plane.
//
// controller.go has the control goroutine; source.go chooses between the store and the elected gateway as the source of
// updates; updates.go applies these updates; assign.go runs the assigners; broadcast.go sends messages from the elected
// gateway to the others; calls.go executes store calls and orders, outside the goroutine; publish.go builds snapshots.
package controller

import (
	"github.com/sapphireplank/sapphireplank/internal/directory"
	"github.com/sapphireplank/sapphireplank/internal/routing"
)

// EntryKind is the kind of an entry in the store.
type EntryKind int

// Kinds of entries in the store. EntryOther is any entry that operators and backend servers do not write.
const (
	EntryOther EntryKind = iota
	EntryConfig
	EntryServer
	// EntryZoneDrain exists while the operator drains an availability zone. Its value is ignored.
	EntryZoneDrain
)

// EntryDecoder decodes the entries that operators and backend servers write to the store.
type EntryDecoder interface {
	// Classify returns the kind of the entry of a key and, for EntryServer, the ID of the backend server, for EntryZoneDrain the
	// name of the zone.
	Classify(key string) (EntryKind, string)
	// DecodeConfig decodes a configuration.
	DecodeConfig(value []byte) (*routing.Config, error)
	// DecodeServer decodes the entry of a backend server.
	DecodeServer(id string, value []byte) (directory.Server, error)
}
