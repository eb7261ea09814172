package controlcost

import (
	"syscall"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/cell"
)

// role is the role of a gateway in its cell, for the accounting of costs.
type role int

const (
	roleHolder role = iota
	roleSuccessor
	roleMember
	roleCount
)

var roleNames = [roleCount]string{"holder", "successor", "member"}

// String returns the name of the role in reports.
func (r role) String() string { return roleNames[r] }

func roleOf(r cell.Role) role {
	switch r {
	case cell.RoleHolder, cell.RoleSolo:
		return roleHolder
	case cell.RoleSuccessor:
		return roleSuccessor
	default:
		return roleMember
	}
}

// cost is the cost of all gateways of one role.
type cost struct {
	// time is the sum, over all gateways, of the time for which they had the role.
	time       time.Duration
	cpu        time.Duration
	messages   uint64
	bytes      uint64
	storeCalls uint64
}

// addTraffic adds the traffic and store calls between two readings of the counters.
func (c *cost) addTraffic(before, after cell.Counters) {
	c.messages += after.SentMessages + after.ReceivedMessages - before.SentMessages - before.ReceivedMessages
	c.bytes += after.SentBytes + after.ReceivedBytes - before.SentBytes - before.ReceivedBytes
	c.storeCalls += after.StoreCalls - before.StoreCalls
}

func (c *cost) merge(other cost) {
	c.time += other.time
	c.cpu += other.cpu
	c.messages += other.messages
	c.bytes += other.bytes
	c.storeCalls += other.storeCalls
}

// perSecond returns a total as a rate per second and gateway.
func (c *cost) perSecond(total float64) float64 {
	if c.time == 0 {
		return 0
	}
	return total / c.time.Seconds()
}

// threadCPUTime returns the CPU time of the calling operating system thread.
func threadCPUTime() time.Duration {
	var usage syscall.Rusage
	// Getrusage cannot fail with RUSAGE_THREAD and a valid pointer.
	_ = syscall.Getrusage(syscall.RUSAGE_THREAD, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
