package bench

import (
	"fmt"
	"runtime"
	"runtime/debug"
)

// Build describes the program version and the machine that produced a measurement.
type Build struct {
	Version   string
	GoVersion string
	Platform  string
	Cores     int
}

// CurrentBuild describes the running process.
func CurrentBuild() Build {
	build := Build{Version: "(devel)", GoVersion: runtime.Version(), Platform: runtime.GOOS + "/" + runtime.GOARCH, Cores: runtime.NumCPU()}
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		build.Version = info.Main.Version
	}
	return build
}

func (b Build) String() string {
	return fmt.Sprintf("%s, %s, %d cores", b.GoVersion, b.Platform, b.Cores)
}
