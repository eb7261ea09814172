// Package dev runs whole deployments in one process: a stand-in store, stand-in backend servers, gateways and
// callers. It injects failures and checks every invariant against what the backend servers executed.
package dev
