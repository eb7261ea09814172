package dev

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/fence"
)

// Execution is one request as a backend server ran it.
type Execution struct {
	Server   string
	Service  string
	Key      string
	Identity string
	Token    fence.Token
	Start    time.Time
	End      time.Time
}
