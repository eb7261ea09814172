package cell

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/looplab/fsm"
)

// Role is the role of a gateway in its cell.
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

// Events of the role state machine.
const (
	eventJoin     = "join"     // the first pair became known
	eventInstall  = "install"  // the holder installed this gateway as successor
	eventWin      = "win"      // a granted claim or a generation written to the store made this gateway the sole authority
	eventActivate = "activate" // the successor acknowledged its installation
	eventDemote   = "demote"   // another gateway has the authority, or this one gave it up
	eventStop     = "stop"     // the gateway stops
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

// ownershipState is the state of one partition, hot key or backend server at the holder.
type ownershipState string

const (
	unassigned ownershipState = "unassigned"
	granted    ownershipState = "granted"
	releasing  ownershipState = "releasing"
	lapsing    ownershipState = "lapsing"
)

// Events of the ownership state machine.
const (
	eventGrant   = "grant"   // the holder recorded an owner
	eventRelease = "release" // the home must stop using it and report the release
	eventLapse   = "lapse"   // the home cannot report; ownership ends when its last grant expires
	eventFree    = "free"    // the release was reported, or the last grant expired
)

var ownershipEvents = fsm.Events{
	{Name: eventGrant, Src: []string{string(unassigned)}, Dst: string(granted)},
	{Name: eventRelease, Src: []string{string(granted)}, Dst: string(releasing)},
	{Name: eventLapse, Src: []string{string(granted), string(releasing), string(lapsing)}, Dst: string(lapsing)},
	{Name: eventFree, Src: []string{string(releasing), string(lapsing)}, Dst: string(unassigned)},
}

// ownershipMachine checks the transitions of all partitions, hot keys and servers. Their states are derived from the
// table.
type ownershipMachine struct {
	machine *fsm.FSM
}

func newOwnershipMachine() ownershipMachine {
	return ownershipMachine{machine: fsm.NewFSM(string(unassigned), ownershipEvents, nil)}
}

// allows reports whether event is allowed in state.
func (m ownershipMachine) allows(state ownershipState, event string) bool {
	m.machine.SetState(string(state))
	return m.machine.Can(event)
}

func fire(machine *fsm.FSM, event string) error {
	err := machine.Event(context.Background(), event)
	var noTransition fsm.NoTransitionError
	if err == nil || errors.As(err, &noTransition) {
		return nil
	}
	return errors.Wrapf(ErrInvalidTransition, "event %q in state %q", event, machine.Current())
}
