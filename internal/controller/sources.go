// Package controller runs the control goroutine of a gateway. It follows the store, takes part in the election, and,
// while it is elected, assigns keys to backend servers. It publishes a snapshot for traffic after each change.
//
// controller.go is the goroutine; source.go chooses between the store and the elected gateway; follow.go takes what
// either reports; assign.go drives the assigners; beats.go is what the elected gateway tells the others; calls.go does
// the calls of the store and the orders, outside the goroutine; publish.go makes the snapshot.
package controller

import (
	"github.com/sapphireplank/sapphireplank/internal/directory"
	"github.com/sapphireplank/sapphireplank/internal/routing"
)

// EntryKind says what a key of the store holds.
type EntryKind int

// Kinds of entries that others write.
const (
	EntryOther EntryKind = iota
	EntryConfig
	EntryServer
)

// EntryDecoder reads the entries that operators and backend servers write to the store.
type EntryDecoder interface {
	// Classify says what a key holds, and the ID of a backend server.
	Classify(key string) (EntryKind, string)
	// DecodeConfig reads a configuration.
	DecodeConfig(value []byte) (*routing.Config, error)
	// DecodeServer reads the entry of a backend server.
	DecodeServer(id string, value []byte) (directory.Server, error)
}
