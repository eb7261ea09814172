// Package gateway answers callers: it reads a request, finds the home of its backend server, and has the
// request executed there, directly or through another gateway.
//
// The way of a request by file: entry.go, parse.go, body.go, handle.go, route.go, then local.go or forward.go,
// and back through respond.go. Requests from other gateways enter at hop.go.
package gateway
