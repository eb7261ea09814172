package dev

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/fence"
)

// Execution is one execution of a request on a backend server.
type Execution struct {
	Server   string
	Service  string
	Key      string
	Identity string
	Token    fence.Token
	Start    time.Time
	End      time.Time
}
