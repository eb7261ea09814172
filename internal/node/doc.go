// Package node assembles one gateway process: the request path, the control loop, the dispatchers of backend servers,
// and the listeners for clients, other gateways and operators.
package node
