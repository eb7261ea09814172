// Package version holds the release version of all binaries.
package version

import "runtime"

// Version is the release version. Release builds set it with -ldflags "-X".
var Version = "0.1.0-dev"

// Line returns the output of --version.
func Line(program string) string {
	return program + " " + Version + " " + runtime.Version()
}
