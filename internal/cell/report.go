package cell

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/fence"
	"github.com/sapphireplank/sapphireplank/internal/keyspace"
)

// Report is what the local homes observed since the previous report.
type Report struct {
	Servers         []ServerReport
	Released        []UnitRelease
	ReleasedServers []ServerRelease
	Load            []PartitionLoad
	HotKeys         []KeyLoad
	ServerLoad      []ServerLoad
}

// ServerReport is the health of one backend server whose home is this gateway.
type ServerReport struct {
	Server string
	Up     bool
	// Draining is true if the server reports that it drains. Its partitions then move as for a planned stop.
	Draining bool
	// WorkEnd is the monotonic time at which the last grant on the server, or the last deadline of a request sent to
	// it, expires. After a report that the server is down, the home must not set grants or send requests under any
	// token that it had seen by then, only under greater ones.
	WorkEnd time.Duration
}

// UnitRelease reports that a partition, or an override if Key is set, has no request in flight and no grant in force
// under Token, and that the home sends no more requests for it.
type UnitRelease struct {
	Service   string
	Partition keyspace.Partition
	Key       string
	Token     fence.Token
}

// ServerRelease reports that the home no longer uses a backend server under Token.
type ServerRelease struct {
	Server string
	Token  fence.Token
}

// PartitionLoad is the share of slot time of one partition, in slots.
type PartitionLoad struct {
	Service   string
	Partition keyspace.Partition
	Load      float64
}

// KeyLoad is the share of slot time of one hot key, in slots.
type KeyLoad struct {
	Service string
	Key     string
	Load    float64
}

// ServerLoad is the load of one backend server, in slots.
type ServerLoad struct {
	Server string
	Load   float64
}
