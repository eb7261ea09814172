package questionnaire

import _ "embed" // for Template

// Template is a commented questionnaire for a small deployment. It parses without faults.
//
//go:embed template.ini
var Template []byte
