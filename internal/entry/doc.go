// Package entry serves callers. A request passes its files in this order: server.go accepts the connection,
// clientconn.go and readrequest.go read the request, handler.go finds its route, forward.go sends it to backend
// servers, verdict.go judges their answers, answer.go and writer.go return the answer in the order of the requests.
//
// The requests of a connection are handled at the same time, also when a caller sends further ones before the first
// is answered. That, and noticing a caller that leaves, is why the connections are not those of http.Server.
package entry
