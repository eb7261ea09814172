// Package version names the release of all binaries.
package version

import "runtime"

// Version is the release. Releases set it with -ldflags "-X".
var Version = "0.1.0-dev"

// Line returns what --version prints.
func Line(program string) string {
	return program + " " + Version + " " + runtime.Version()
}
