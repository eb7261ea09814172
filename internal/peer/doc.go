// Package peer provides streams between gateways over multiplexed sessions.
//
// A gateway keeps one yamux session to each gateway to which it sends. Each request has a stream to itself while it is
// in progress. Control messages use one long-lived stream per direction, so that they never queue behind request
// bodies.
package peer
