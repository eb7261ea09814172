// Package relay connects the elected gateway with the other gateways. The elected gateway forwards changes of the
// store, so that the others need no store calls of their own. The other gateways report to it the number of requests
// that they have in flight at each backend server, and it sends them the sums over all gateways.
//
// The sums are vectors over an Index of the servers, which is sent once. Long messages are compressed.
//
// One TCP connection per gateway carries protobuf messages in both directions. A yamux session is not needed, because
// there is only one stream. A gateway that does not hear from the elected one in time follows the store itself.
package relay
