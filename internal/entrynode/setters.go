package entrynode

import (
	"math"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/hedge"
	"github.com/sapphireplank/sapphireplank/internal/logging"
)

// setter parses the text of a setting and stores it.
type setter func(*Settings, string) error

const (
	maxPort = 1<<16 - 1
	// minDuration is the shortest duration accepted where 0 is not.
	minDuration = time.Millisecond
	// maxDuration keeps sums of durations in range.
	maxDuration = 24 * time.Hour
)

func stringSetter(target func(*Settings) *string) setter {
	return func(s *Settings, value string) error {
		*target(s) = value
		return nil
	}
}

func addressSetter(target func(*Settings) *string) setter {
	return func(s *Settings, value string) error {
		*target(s) = value
		_, err := netip.ParseAddr(value)
		return err
	}
}

func addressPortSetter(target func(*Settings) *string) setter {
	return func(s *Settings, value string) error {
		*target(s) = value
		_, err := netip.ParseAddrPort(value)
		return err
	}
}

// parseNumber parses a finite number of at least 0.
func parseNumber(value string) (float64, error) {
	parsed, err := strconv.ParseFloat(value, 64)
	if err != nil || !(parsed >= 0) || math.IsInf(parsed, 0) {
		return 0, ErrInvalidSetting
	}
	return parsed, nil
}

func floatSetter(target func(*Settings) *float64) setter {
	return func(s *Settings, value string) error {
		var err error
		*target(s), err = parseNumber(value)
		return err
	}
}

func positiveFloatSetter(target func(*Settings) *float64) setter {
	return func(s *Settings, value string) error {
		err := floatSetter(target)(s, value)
		if err == nil && *target(s) == 0 {
			return ErrInvalidSetting
		}
		return err
	}
}

// floatUpTo parses a number from 0 to a maximum.
func floatUpTo(most float64, target func(*Settings) *float64) setter {
	return func(s *Settings, value string) error {
		err := floatSetter(target)(s, value)
		if err == nil && *target(s) > most {
			return ErrInvalidSetting
		}
		return err
	}
}

// noServices is the value of a list of services that has none.
const noServices = "none"

// setHedgedServices parses a list of NAME=PERCENT.
func setHedgedServices(s *Settings, value string) error {
	if value == noServices {
		return nil
	}
	services := make(map[string]float64)
	for _, text := range strings.Split(value, ",") {
		name, percent, found := strings.Cut(text, "=")
		name = strings.TrimSpace(name)
		parsed, err := parseNumber(strings.TrimSpace(percent))
		if _, repeated := services[name]; !found || name == "" || repeated || err != nil || parsed > hedge.MaxPercent {
			return ErrInvalidSetting
		}
		services[name] = parsed
	}
	s.Hedging.Services = services
	return nil
}

// factorSetter parses a finite number of at least 1.
func factorSetter(target func(*Settings) *float64) setter {
	return func(s *Settings, value string) error {
		err := floatSetter(target)(s, value)
		if err == nil && *target(s) < 1 {
			return ErrInvalidSetting
		}
		return err
	}
}

// intSetter parses an integer within bounds.
func intSetter(low, high int, target func(*Settings) *int) setter {
	return func(s *Settings, value string) error {
		parsed, err := strconv.Atoi(value)
		if err != nil || parsed < low || parsed > high {
			return ErrInvalidSetting
		}
		*target(s) = parsed
		return nil
	}
}

// durationSetter parses a duration given as a number of units, which may have a fraction.
func durationSetter(unit time.Duration, target func(*Settings) *time.Duration) setter {
	return func(s *Settings, value string) error {
		parsed, err := parseNumber(value)
		if err != nil || parsed > float64(maxDuration/unit) {
			return ErrInvalidSetting
		}
		*target(s) = time.Duration(parsed * float64(unit))
		return nil
	}
}

func positiveDurationSetter(unit time.Duration, target func(*Settings) *time.Duration) setter {
	return func(s *Settings, value string) error {
		err := durationSetter(unit, target)(s, value)
		if err == nil && *target(s) < minDuration {
			return ErrInvalidSetting
		}
		return err
	}
}

func setPortRange(s *Settings, value string) error {
	first, last, _ := strings.Cut(value, ",")
	for i, text := range []string{first, last} {
		port := func(s *Settings) *int { return &s.InternalPorts[i] }
		if err := intSetter(1, maxPort, port)(s, strings.TrimSpace(text)); err != nil {
			return err
		}
	}
	return nil
}

func setLogLevels(s *Settings, value string) error {
	s.LogLevels = value
	_, err := logging.ParseLevels(value)
	return err
}
