// Package gateway implements the request path of a gateway: it parses the requests of clients, selects a backend
// server, and executes each request through the home gateway of that server. The home gateway of a backend server is
// the only one that holds connections to it. Requests for which another gateway is the home are forwarded to it.
//
// ServeHTTP is the entry point for clients, HandleRequest the one for requests that other gateways forward.
package gateway
