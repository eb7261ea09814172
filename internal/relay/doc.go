// Package relay connects the elected gateway with the others. The elected one passes on what the store reports, so
// that the others need no calls of the store, and the sum of the requests that all gateways have at each backend
// server. The others send it their parts.
//
// One TCP connection per gateway carries protobuf messages in both directions. It is not a yamux session, because it
// has one stream only. A gateway that does not hear from the elected one in time follows the store itself.
package relay
