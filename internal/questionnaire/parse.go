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

// MaxBytes is the largest questionnaire that is read.
const MaxBytes = 1 << 20

// Parse reads a questionnaire. The error is of type config.Faults and lists every fault.
func Parse(text []byte) (*Answers, error) {
	var faults config.ValidationErrors
	file, ok := load(text, &faults)
	if !ok {
		return nil, faults
	}
	p := &parser{answers: &Answers{}, faults: &faults, seen: make(map[string]bool)}
	for _, raw := range file.Sections() {
		p.section(raw)
	}
	p.requireSections()
	p.answers.sort()
	check(p.answers, &faults, p.misnamed > 0)
	if len(faults) == 0 {
		_, err := Generate(p.answers)
		return p.answers, err
	}
	slices.SortStableFunc(faults, func(a, b config.ValidationError) int { return strings.Compare(a.Section+a.Key, b.Section+b.Key) })
	return nil, faults
}

func load(text []byte, faults *config.ValidationErrors) (*ini.File, bool) {
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

// parser turns sections into answers.
type parser struct {
	answers *Answers
	faults  *config.ValidationErrors
	seen    map[string]bool
	// misnamed counts the sections that are not known.
	misnamed int
}

func (p *parser) section(raw *ini.Section) {
	if raw.Name() == ini.DefaultSection {
		p.beforeFirst(raw)
		return
	}
	if p.seen[raw.Name()] {
		p.faults.Add(raw.Name(), "", "", "appears twice", "merge the two sections")
		return
	}
	p.seen[raw.Name()] = true
	words := strings.Fields(raw.Name())
	read, ok := p.reader(words)
	if !ok {
		p.misnamed++
		p.faults.Add(raw.Name(), "", "", "is not a section of the questionnaire", "use "+sectionForms)
		return
	}
	for _, word := range words[1:] {
		if !config.IsName(word) {
			p.faults.Add(raw.Name(), "", word, "is not a name", nameRemedy)
			return
		}
	}
	s := newSection(raw, p.faults)
	read(s, words[1:])
	s.finish()
}

// beforeFirst refuses answers above the first section.
func (p *parser) beforeFirst(raw *ini.Section) {
	for _, key := range raw.Keys() {
		p.faults.Add("questionnaire", key.Name(), key.Value(), "stands before the first section", "move it into a section")
	}
}

const sectionForms = "[team], [preference], [losses], [region NAME], [hosts ZONE], [service NAME] or [servers SERVICE ZONE]"

// reader returns the function that reads a section with the given words in its name.
func (p *parser) reader(words []string) (func(*section, []string), bool) {
	if len(words) == 0 {
		return nil, false
	}
	forms := map[string]struct {
		names int
		read  func(*section, []string)
	}{
		"team":       {0, p.team},
		"preference": {0, p.preference},
		"losses":     {0, p.losses},
		"region":     {1, p.region},
		"hosts":      {1, p.hosts},
		"service":    {1, p.service},
		"servers":    {2, p.servers},
	}
	form, ok := forms[words[0]]
	return form.read, ok && len(words) == 1+form.names
}

// requireSections adds a fault for each section that is missing, unless the misnamed sections explain them.
func (p *parser) requireSections() {
	var missing config.ValidationErrors
	for _, name := range []string{"team", "preference", "losses"} {
		if !p.seen[name] {
			missing.Add(name, "", "", "is missing", "add the section; plankctl init shows it")
		}
	}
	for _, kind := range []string{"region", "service"} {
		if !p.hasKind(kind) {
			missing.Add(kind+" NAME", "", "", "is missing", "add at least one; plankctl init shows it")
		}
	}
	if len(missing) > p.misnamed {
		*p.faults = append(*p.faults, missing...)
	}
}

func (p *parser) hasKind(kind string) bool {
	for name := range p.seen {
		if strings.HasPrefix(name, kind+" ") {
			return true
		}
	}
	return false
}
