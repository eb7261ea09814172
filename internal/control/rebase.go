package control

import (
	"strconv"
	"strings"

	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/confsync"
)

// rebaseSeparator separates the id of the accepted configuration from the revision under which it was written back.
const rebaseSeparator = "@"

// rebase returns a copy of a document with another revision. The id depends only on the document and the revision, so
// that gateways that write back concurrently write the same value.
func rebase(document confsync.Document, revision uint64) (confsync.Document, error) {
	c, err := config.Decode(document.Bytes)
	if err != nil {
		return confsync.Document{}, err
	}
	id, _, _ := strings.Cut(c.ID, rebaseSeparator)
	c.Revision = revision
	c.ID = id + rebaseSeparator + strconv.FormatUint(revision, 10)
	data, err := c.Encode()
	if err != nil {
		return confsync.Document{}, err
	}
	return Document(c, data), nil
}
