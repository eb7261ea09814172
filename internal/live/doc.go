// Package live implements experiments on real gateways that run in one process with a stand-in store and stand-in
// backend servers. Each experiment runs a scenario and its baselines in sequence and reports them in adjacent columns.
package live
