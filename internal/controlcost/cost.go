package controlcost

import (
	"syscall"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/cell"
)

// part is the part that a gateway has in its cell.
type part int

const (
	partHolder part = iota
	partSuccessor
	partMember
	partCount
)

var partNames = [partCount]string{"holder", "successor", "member"}

// String returns the name of the part in reports.
func (p part) String() string { return partNames[p] }

func partOf(role cell.Role) part {
	switch role {
	case cell.RoleHolder, cell.RoleSolo:
		return partHolder
	case cell.RoleSuccessor:
		return partSuccessor
	default:
		return partMember
	}
}

// cost is what gateways of one part used.
type cost struct {
	// time is the sum over gateways of the time in which they had the part.
	time       time.Duration
	cpu        time.Duration
	messages   uint64
	bytes      uint64
	storeCalls uint64
}

// add counts the traffic between two states of the counters.
func (c *cost) add(before, after cell.Counters) {
	c.messages += after.SentMessages + after.ReceivedMessages - before.SentMessages - before.ReceivedMessages
	c.bytes += after.SentBytes + after.ReceivedBytes - before.SentBytes - before.ReceivedBytes
	c.storeCalls += after.StoreCalls - before.StoreCalls
}

func (c *cost) plus(other cost) {
	c.time += other.time
	c.cpu += other.cpu
	c.messages += other.messages
	c.bytes += other.bytes
	c.storeCalls += other.storeCalls
}

// perSecond returns a total as a rate of one gateway.
func (c *cost) perSecond(total float64) float64 {
	if c.time == 0 {
		return 0
	}
	return total / c.time.Seconds()
}

// threadTime returns the processor time of the calling thread.
func threadTime() time.Duration {
	var usage syscall.Rusage
	// RUSAGE_THREAD is always valid, so there is no error.
	_ = syscall.Getrusage(syscall.RUSAGE_THREAD, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
