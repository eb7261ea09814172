// Package live implements experiments on real gateways that run in one process with a simulated store and simulated
// backend servers. Each experiment runs a scenario and its baselines in sequence and reports them in adjacent columns.
package live
