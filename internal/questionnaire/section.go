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

// sectionReader reads the values of one section and collects faults.
type sectionReader struct {
	name    string
	answers map[string]string
	// requestedKeys lists the keys that the parser has asked for; all others are unknown.
	requestedKeys []string
	// invalidKeys is the set of keys whose value has a fault. Checks that depend on such a value are skipped.
	invalidKeys map[string]bool
	faults      *config.ValidationErrors
}

func newSectionReader(raw *ini.Section, faults *config.ValidationErrors) *sectionReader {
	s := &sectionReader{
		name: raw.Name(), answers: make(map[string]string), invalidKeys: make(map[string]bool), faults: faults,
	}
	for _, key := range raw.Keys() {
		values := key.ValueWithShadows()
		if len(values) > 1 {
			s.addFault(key.Name(), strings.Join(values, " and "), "is answered twice", "keep one of the answers")
			continue
		}
		s.answers[key.Name()] = strings.TrimSpace(key.Value())
	}
	return s
}

func (s *sectionReader) addFault(key, value, problem, remedy string) {
	s.invalidKeys[key] = true
	s.faults.Add(s.name, key, value, problem, remedy)
}

// optional returns the value of a key, or "" if it is not set.
func (s *sectionReader) optional(key string) string {
	s.requestedKeys = append(s.requestedKeys, key)
	return s.answers[key]
}

// required returns the value of a key and adds a fault if it is not set.
func (s *sectionReader) required(key, example string) string {
	value := s.optional(key)
	if value == "" && !s.invalidKeys[key] {
		s.addFault(key, "", "has no answer", "add a line such as "+key+" = "+example)
	}
	return value
}

// choice reads a required value that must be one of the given words.
func (s *sectionReader) choice(key string, words ...string) string {
	value := s.required(key, words[0])
	if value != "" && !slices.Contains(words, value) {
		s.addFault(key, value, "is not one of the choices", "use "+strings.Join(words, " or "))
	}
	return value
}

func (s *sectionReader) yesNo(key string) bool { return s.choice(key, "yes", "no") == "yes" }

// integer reads a required integer from low to high.
func (s *sectionReader) integer(key string, low, high int, unit string) int {
	value := s.required(key, strconv.Itoa(low))
	if value == "" {
		return 0
	}
	n, err := strconv.Atoi(value)
	switch {
	case errors.Is(err, strconv.ErrRange) || err == nil && (n < low || n > high):
		s.addFault(key, value, "is out of range", fmt.Sprintf("use %d to %d %s", low, high, unit))
	case err != nil:
		s.addFault(key, value, "is not a whole number", fmt.Sprintf("use %d to %d %s, without a unit", low, high, unit))
	}
	return n
}

// integerOr reads an optional integer, which defaults to fallback.
func (s *sectionReader) integerOr(key string, fallback, low, high int, unit string) int {
	if s.optional(key) == "" {
		return fallback
	}
	return s.integer(key, low, high, unit)
}

// nameList reads an optional list of distinct names.
func (s *sectionReader) nameList(key string) []string {
	items := splitList(s.optional(key))
	seen := make(map[string]bool)
	for _, item := range items {
		switch {
		case !config.IsName(item):
			s.addFault(key, item, "is not a name", nameRemedy)
		case seen[item]:
			s.addFault(key, item, "is listed twice", "list it once")
		}
		seen[item] = true
	}
	return items
}

// addressPattern reads a required address pattern and checks that it yields count addresses.
func (s *sectionReader) addressPattern(key string, count int) AddressPattern {
	value := s.required(key, "127.0.0.1:7000"+indexSuffix)
	if value == "" {
		return AddressPattern{}
	}
	pattern, err := parseAddressPattern(value)
	if err != nil {
		s.addFault(key, value, err.Error(),
			"write 10.0.0.1:7000, 10.0.0.2:7000 or 10.0.0.1+index:7000 or 127.0.0.1:7000+index")
		return pattern
	}
	if s.invalidKeys["count"] {
		return pattern
	}
	if !pattern.isIndexed() && len(pattern.addresses) != count {
		s.addFault(key, value, fmt.Sprintf("lists %d addresses for a count of %d", len(pattern.addresses), count),
			"list one address for each, or use +index")
		return pattern
	}
	if _, err := pattern.addressAt(count - 1); err != nil {
		s.addFault(key, value, err.Error(), "use a lower first address or port, or lower the count")
	}
	return pattern
}

// rejectUnknownKeys adds a fault for each key of the section that the parser has not asked for.
func (s *sectionReader) rejectUnknownKeys() {
	for key := range s.answers {
		if slices.Contains(s.requestedKeys, key) {
			continue
		}
		s.addFault(key, s.answers[key], "is not a key of this section",
			"use one of "+strings.Join(s.sortedRequestedKeys(), ", "))
	}
}

func (s *sectionReader) sortedRequestedKeys() []string {
	keys := slices.Clone(s.requestedKeys)
	slices.Sort(keys)
	return slices.Compact(keys)
}

const nameRemedy = "use at most 63 lower-case letters, digits and hyphens, starting with a letter"
