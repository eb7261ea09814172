// Package bench runs named experiments with a seed against the packages of the system, beside named baselines.
//
// An experiment returns a Report. The package prints it as a table and writes it as CSV and SVG files.
package bench
