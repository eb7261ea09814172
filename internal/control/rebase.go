package control

import (
	"strconv"
	"strings"

	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/confsync"
)

// rebaseMark separates the id of an accept from the revision under which it was written back.
const rebaseMark = "@"

// rebase gives a document another revision. The id depends on the document and the revision only, so that
// gateways that write back at the same time write the same value.
func rebase(document confsync.Document, revision uint64) (confsync.Document, error) {
	c, err := config.Decode(document.Bytes)
	if err != nil {
		return confsync.Document{}, err
	}
	id, _, _ := strings.Cut(c.ID, rebaseMark)
	c.Revision = revision
	c.ID = id + rebaseMark + strconv.FormatUint(revision, 10)
	data, err := c.Encode()
	if err != nil {
		return confsync.Document{}, err
	}
	return Document(c, data), nil
}
