package questionnaire

import _ "embed" // for the template

// Template is a commented questionnaire of a small deployment. It has no faults.
//
//go:embed template.ini
var Template []byte
