// Package relay connects the elected gateway with the other gateways. The elected gateway forwards changes of the
// store, so that the others need no store calls of their own, and the number of requests that all gateways together
// have in flight at each backend server. The other gateways report their own counts to it.
//
// One TCP connection per gateway carries protobuf messages in both directions. A yamux session is not needed, because
// there is only one stream. A gateway that does not hear from the elected one in time follows the store itself.
package relay
