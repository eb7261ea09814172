package logging

import (
	"bytes"
	"errors"
	"regexp"
	"sync"
	"testing"
)

// Guards against lines without the component's prefix, against the level of one component that applies to another,
// and against interleaved lines of concurrent loggers.
func TestComponentsAndLevels(t *testing.T) {
	levels, err := ParseLevels("warning, cell=debug,home=error")
	if err != nil {
		t.Fatal(err)
	}
	var output bytes.Buffer
	logs := New(&output, levels)
	var group sync.WaitGroup
	for _, component := range []string{"cell", "home", "peer"} {
		group.Go(func() {
			log := logs.Component(component).WithField("host", "h1")
			log.Debug("debug")
			log.Warning("warning")
			log.Error("error")
		})
	}
	group.Wait()
	line := `time="[0-9-]+T[0-9:.]+Z" level=\w+ msg="(\w+: \w+)" host=h1\n`
	if !regexp.MustCompile(`^(` + line + `){6}$`).Match(output.Bytes()) {
		t.Fatalf("output:\n%s", output.String())
	}
	for text, want := range map[string]int{"cell: debug": 1, "home: warning": 0, "home: error": 1, "peer: debug": 0, "peer: warning": 1} {
		if got := bytes.Count(output.Bytes(), []byte(text)); got != want {
			t.Errorf("%q appears %d times, want %d", text, got, want)
		}
	}
}

// Guards against a mistyped level that silently falls back to the default.
func TestParseLevels(t *testing.T) {
	for setting, want := range map[string]error{"": nil, "info": nil, "info,cell=trace": nil, "loud": ErrUnknownLevel, "cell=": ErrUnknownLevel} {
		if _, err := ParseLevels(setting); !errors.Is(err, want) {
			t.Errorf("ParseLevels(%q) returned %v", setting, err)
		}
	}
}
