package merge

import (
	_ "embed"
	"html/template"
	"io"

	"github.com/cockroachdb/errors"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Parse(pageText))

// WriteHTML writes a page with a picture: one lane per host, one colour per kind, and a table of the events. It needs
// no other file.
func (t *Timeline) WriteHTML(output io.Writer) error {
	return errors.Wrap(page.Execute(output, t.draw()), "write page")
}
