package questionnaire

import (
	"bytes"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"gopkg.in/ini.v1"

	"github.com/sapphireplank/sapphireplank/internal/config"
)

// MaxBytes is the maximum size of a questionnaire.
const MaxBytes = 1 << 20

// Parse parses a questionnaire. The error is of type config.ValidationErrors and lists all faults that were found.
func Parse(text []byte) (*Answers, error) {
	var faults config.ValidationErrors
	file, ok := loadINI(text, &faults)
	if !ok {
		return nil, faults
	}
	p := &parser{answers: &Answers{}, faults: &faults, seenSections: make(map[string]bool)}
	for _, raw := range file.Sections() {
		p.parseSection(raw)
	}
	p.checkRequiredSections()
	p.answers.sort()
	checkAnswers(p.answers, &faults, p.unknownSections > 0)
	if len(faults) == 0 {
		_, err := Generate(p.answers)
		return p.answers, err
	}
	slices.SortStableFunc(faults, func(a, b config.ValidationError) int { return strings.Compare(a.Section+a.Key, b.Section+b.Key) })
	return nil, faults
}

func loadINI(text []byte, faults *config.ValidationErrors) (*ini.File, bool) {
	switch {
	case len(text) > MaxBytes:
		faults.Add("questionnaire", "", strconv.Itoa(len(text)), "is larger than 1 MB", "use +index in place of long lists")
		return nil, false
	case !utf8.Valid(text) || bytes.IndexByte(text, 0) >= 0:
		faults.Add("questionnaire", "", "", "is not UTF-8 text", "save the file as UTF-8 text")
		return nil, false
	}
	file, err := ini.LoadSources(ini.LoadOptions{
		AllowNonUniqueSections:     true,
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		SpaceBeforeInlineComment:   true,
		KeyValueDelimiters:         "=",
	}, text)
	if err != nil {
		faults.Add("questionnaire", "", "", "cannot be read: "+strings.TrimSpace(err.Error()),
			"write [section] lines and key = value lines")
		return nil, false
	}
	return file, true
}

// parser converts the sections of the INI file to Answers.
type parser struct {
	answers      *Answers
	faults       *config.ValidationErrors
	seenSections map[string]bool
	// unknownSections is the number of sections with a name that is not recognized.
	unknownSections int
}

func (p *parser) parseSection(raw *ini.Section) {
	if raw.Name() == ini.DefaultSection {
		p.rejectKeysOutsideSections(raw)
		return
	}
	if p.seenSections[raw.Name()] {
		p.faults.Add(raw.Name(), "", "", "appears twice", "merge the two sections")
		return
	}
	p.seenSections[raw.Name()] = true
	words := strings.Fields(raw.Name())
	parse, ok := p.sectionParser(words)
	if !ok {
		p.unknownSections++
		p.faults.Add(raw.Name(), "", "", "is not a section of the questionnaire", "use "+sectionForms)
		return
	}
	for _, word := range words[1:] {
		if !config.IsName(word) {
			p.faults.Add(raw.Name(), "", word, "is not a name", nameRemedy)
			return
		}
	}
	s := newSectionReader(raw, p.faults)
	parse(s, words[1:])
	s.rejectUnknownKeys()
}

// rejectKeysOutsideSections adds a fault for each key that precedes the first section.
func (p *parser) rejectKeysOutsideSections(raw *ini.Section) {
	for _, key := range raw.Keys() {
		p.faults.Add("questionnaire", key.Name(), key.Value(), "precedes the first section", "move it into a section")
	}
}

const sectionForms = "[team], [preference], [losses], [region NAME], [hosts ZONE], [service NAME] or [servers SERVICE ZONE]"

// sectionParser returns the function that parses a section whose name consists of the given words.
func (p *parser) sectionParser(words []string) (func(*sectionReader, []string), bool) {
	if len(words) == 0 {
		return nil, false
	}
	forms := map[string]struct {
		names int
		parse func(*sectionReader, []string)
	}{
		"team":       {0, p.parseTeam},
		"preference": {0, p.parsePreference},
		"losses":     {0, p.parseLosses},
		"region":     {1, p.parseRegion},
		"hosts":      {1, p.parseHosts},
		"service":    {1, p.parseService},
		"servers":    {2, p.parseServers},
	}
	form, ok := forms[words[0]]
	return form.parse, ok && len(words) == 1+form.names
}

// checkRequiredSections adds a fault for each missing section, unless there are at least as many sections with
// unknown names, which may be the missing ones misspelled.
func (p *parser) checkRequiredSections() {
	var missing config.ValidationErrors
	for _, name := range []string{"team", "preference", "losses"} {
		if !p.seenSections[name] {
			missing.Add(name, "", "", "is missing", "add the section; plankctl init shows it")
		}
	}
	for _, kind := range []string{"region", "service"} {
		if !p.hasSectionOfKind(kind) {
			missing.Add(kind+" NAME", "", "", "is missing", "add at least one; plankctl init shows it")
		}
	}
	if len(missing) > p.unknownSections {
		*p.faults = append(*p.faults, missing...)
	}
}

func (p *parser) hasSectionOfKind(kind string) bool {
	for name := range p.seenSections {
		if strings.HasPrefix(name, kind+" ") {
			return true
		}
	}
	return false
}
