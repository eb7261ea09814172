package cell

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/looplab/fsm"
)

// Role is the part of this gateway in its cell.
type Role string

// Roles of a gateway.
const (
	RoleStarting  Role = "starting"
	RoleMember    Role = "member"
	RoleSuccessor Role = "successor"
	RoleHolder    Role = "holder"
	RoleSolo      Role = "solo"
	RoleStopped   Role = "stopped"
)

// Events of the role.
const (
	eventJoin     = "join"     // a holder is known
	eventInstall  = "install"  // the holder appointed this gateway as successor
	eventWin      = "win"      // a claim or the store made this gateway the sole authority
	eventActivate = "activate" // the successor acknowledged
	eventDemote   = "demote"   // another gateway has the authority, or this one gave it up
	eventStop     = "stop"     // the gateway leaves
)

func newRoleMachine() *fsm.FSM {
	all := []string{string(RoleStarting), string(RoleMember), string(RoleSuccessor), string(RoleHolder), string(RoleSolo)}
	follower := []string{string(RoleStarting), string(RoleMember), string(RoleSuccessor)}
	return fsm.NewFSM(string(RoleStarting), fsm.Events{
		{Name: eventJoin, Src: []string{string(RoleStarting)}, Dst: string(RoleMember)},
		{Name: eventInstall, Src: follower, Dst: string(RoleSuccessor)},
		{Name: eventWin, Src: all, Dst: string(RoleSolo)},
		{Name: eventActivate, Src: []string{string(RoleSolo)}, Dst: string(RoleHolder)},
		{Name: eventDemote, Src: all, Dst: string(RoleMember)},
		{Name: eventStop, Src: all, Dst: string(RoleStopped)},
	}, nil)
}

// ownership is the state of one partition, key or server at the holder.
type ownership string

const (
	unassigned ownership = "unassigned"
	granted    ownership = "granted"
	releasing  ownership = "releasing"
	lapsing    ownership = "lapsing"
)

// Events of ownership.
const (
	eventGrant   = "grant"   // the holder recorded an owner
	eventRelease = "release" // the home must stop and report
	eventLapse   = "lapse"   // the home cannot report; its last grant runs out
	eventFree    = "free"    // the release was reported, or the last grant is over
)

var ownershipEvents = fsm.Events{
	{Name: eventGrant, Src: []string{string(unassigned)}, Dst: string(granted)},
	{Name: eventRelease, Src: []string{string(granted)}, Dst: string(releasing)},
	{Name: eventLapse, Src: []string{string(granted), string(releasing), string(lapsing)}, Dst: string(lapsing)},
	{Name: eventFree, Src: []string{string(releasing), string(lapsing)}, Dst: string(unassigned)},
}

// ownershipMachine holds the transitions of all partitions, keys and servers; their states are in the table.
type ownershipMachine struct {
	machine *fsm.FSM
}

func newOwnershipMachine() ownershipMachine {
	return ownershipMachine{machine: fsm.NewFSM(string(unassigned), ownershipEvents, nil)}
}

// can reports whether event is allowed in state.
func (m ownershipMachine) can(state ownership, event string) bool {
	m.machine.SetState(string(state))
	return m.machine.Can(event)
}

func fire(machine *fsm.FSM, event string) error {
	err := machine.Event(context.Background(), event)
	var same fsm.NoTransitionError
	if err == nil || errors.As(err, &same) {
		return nil
	}
	return errors.Wrapf(ErrInvalidTransition, "event %q in state %q", event, machine.Current())
}
