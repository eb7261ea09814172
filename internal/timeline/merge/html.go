package merge

import (
	_ "embed"
	"html/template"
	"io"

	"github.com/cockroachdb/errors"
)

//go:embed page.html
var pageSource string

var pageTemplate = template.Must(template.New("page").Parse(pageSource))

// WriteHTML writes a self-contained HTML page with a swimlane diagram, one lane per host and one colour per kind, and a
// table of the events.
func (t *Timeline) WriteHTML(output io.Writer) error {
	return errors.Wrap(pageTemplate.Execute(output, t.layOut()), "write page")
}
