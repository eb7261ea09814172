package confsim

import (
	"bytes"
	"fmt"

	"github.com/sapphireplank/sapphireplank/internal/confsync"
)

// Key is the key of the configuration in the store.
const Key = "config/team"

// NewDocument returns a document with the given version.
func NewDocument(revision uint64, id string) confsync.Document {
	v := confsync.Version{Revision: revision, ID: id}
	return confsync.Document{Version: v, Bytes: fmt.Appendf(nil, "%d %s\n%s", revision, id, padding)}
}

// padding makes documents larger than patches, so that runs use patches.
var padding = bytes.Repeat([]byte("the same in each revision; "), 8)

func decode(value []byte) confsync.Document {
	document := confsync.Document{Bytes: value}
	if _, err := fmt.Sscanf(string(value), "%d %s\n", &document.Revision, &document.ID); err != nil {
		panic("confsim: document in the store is malformed: " + err.Error())
	}
	return document
}

func rebase(document confsync.Document, revision uint64) (confsync.Document, error) {
	return NewDocument(revision, fmt.Sprintf("%s+%d", document.ID, revision)), nil
}
