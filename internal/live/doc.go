// Package live has named experiments on real gateways in one process, with a stand-in store and stand-in backend
// servers. Each experiment runs a scenario and its baseline one after the other and puts both side by side.
package live
