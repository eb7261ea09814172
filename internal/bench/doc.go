// Package bench runs named, seeded experiments on the packages of the system and compares them with baseline
// algorithms.
//
// An experiment returns a Report, which the package prints as a table and writes to text, CSV and SVG files.
package bench
