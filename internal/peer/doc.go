// Package peer carries streams between gateways over multiplexed sessions.
//
// A gateway keeps one yamux session to each gateway that it sends to. A request uses one stream. Control
// messages use one long-lived stream per direction, so that they never wait behind request bodies.
package peer
