package questionnaire

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"gopkg.in/ini.v1"

	"github.com/sapphireplank/sapphireplank/internal/config"
)

// section reads the answers of one section and collects their faults.
type section struct {
	name    string
	answers map[string]string
	known   []string
	// invalid names the keys whose answer had a fault, so that checks which depend on them are left out.
	invalid map[string]bool
	faults  *config.ValidationErrors
}

func newSection(raw *ini.Section, faults *config.ValidationErrors) *section {
	s := &section{name: raw.Name(), answers: make(map[string]string), invalid: make(map[string]bool), faults: faults}
	for _, key := range raw.Keys() {
		values := key.ValueWithShadows()
		if len(values) > 1 {
			s.fault(key.Name(), strings.Join(values, " and "), "is answered twice", "keep one of the answers")
			continue
		}
		s.answers[key.Name()] = strings.TrimSpace(key.Value())
	}
	return s
}

func (s *section) fault(key, value, problem, remedy string) {
	s.invalid[key] = true
	s.faults.Add(s.name, key, value, problem, remedy)
}

// optional returns the answer, or "" if there is none.
func (s *section) optional(key string) string {
	s.known = append(s.known, key)
	return s.answers[key]
}

// required returns the answer and adds a fault if there is none.
func (s *section) required(key, example string) string {
	value := s.optional(key)
	if value == "" && !s.invalid[key] {
		s.fault(key, "", "has no answer", "add a line such as "+key+" = "+example)
	}
	return value
}

// choice reads one of the given words.
func (s *section) choice(key string, words ...string) string {
	value := s.required(key, words[0])
	if value != "" && !slices.Contains(words, value) {
		s.fault(key, value, "is not one of the choices", "use "+strings.Join(words, " or "))
	}
	return value
}

// yesNo reads yes or no.
func (s *section) yesNo(key string) bool { return s.choice(key, "yes", "no") == "yes" }

// number reads a whole number between low and high.
func (s *section) number(key string, low, high int, unit string) int {
	value := s.required(key, strconv.Itoa(low))
	if value == "" {
		return 0
	}
	n, err := strconv.Atoi(value)
	switch {
	case errors.Is(err, strconv.ErrRange) || err == nil && (n < low || n > high):
		s.fault(key, value, "is out of range", fmt.Sprintf("use %d to %d %s", low, high, unit))
	case err != nil:
		s.fault(key, value, "is not a whole number", fmt.Sprintf("use %d to %d %s, without a unit", low, high, unit))
	}
	return n
}

// numberOr reads an optional number.
func (s *section) numberOr(key string, fallback, low, high int, unit string) int {
	if s.optional(key) == "" {
		return fallback
	}
	return s.number(key, low, high, unit)
}

// names reads a list of names without repetitions.
func (s *section) names(key string) []string {
	items := splitList(s.optional(key))
	seen := make(map[string]bool)
	for _, item := range items {
		switch {
		case !config.IsName(item):
			s.fault(key, item, "is not a name", nameRemedy)
		case seen[item]:
			s.fault(key, item, "is listed twice", "list it once")
		}
		seen[item] = true
	}
	return items
}

// address reads an address pattern for count hosts or backend servers.
func (s *section) address(key string, count int) AddressPattern {
	value := s.required(key, "127.0.0.1:7000"+indexSuffix)
	if value == "" {
		return AddressPattern{}
	}
	pattern, err := parseAddressPattern(value)
	if err != nil {
		s.fault(key, value, err.Error(),
			"write 10.0.0.1:7000, 10.0.0.2:7000 or 10.0.0.1+index:7000 or 127.0.0.1:7000+index")
		return pattern
	}
	if s.invalid["count"] {
		return pattern
	}
	if !pattern.isIndexed() && len(pattern.addresses) != count {
		s.fault(key, value, fmt.Sprintf("names %d addresses for a count of %d", len(pattern.addresses), count),
			"name one address for each, or use +index")
		return pattern
	}
	if _, err := pattern.at(count - 1); err != nil {
		s.fault(key, value, err.Error(), "start lower, or lower the count")
	}
	return pattern
}

// finish adds a fault for each key that was not asked for.
func (s *section) finish() {
	for key := range s.answers {
		if slices.Contains(s.known, key) {
			continue
		}
		s.fault(key, s.answers[key], "is not a question of this section", "use one of "+strings.Join(s.sortedKnown(), ", "))
	}
}

func (s *section) sortedKnown() []string {
	known := slices.Clone(s.known)
	slices.Sort(known)
	return slices.Compact(known)
}

const nameRemedy = "use at most 63 lower-case letters, digits and hyphens, starting with a letter"
