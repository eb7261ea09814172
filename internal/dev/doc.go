// Package dev runs complete deployments in one process: a simulated store, simulated backend servers, gateways and
// clients. It injects failures and checks all invariants against the requests that the backend servers executed.
package dev
