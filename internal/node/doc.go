// Package node assembles one gateway process: traffic, control state, homes of backend servers, and the
// endpoints for callers, other gateways and operators.
package node
