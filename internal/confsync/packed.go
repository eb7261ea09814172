package confsync

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/sapphireplank/sapphireplank/internal/config"
)

// gzipMagic starts a compressed document.
var gzipMagic = []byte{0x1f, 0x8b}

// patchDocuments returns a patch between the texts of two documents, which may be compressed: a small change of a text
// changes most of its compressed form. It returns nil if a document cannot be expanded.
func patchDocuments(base, target []byte) []byte {
	baseText, baseOK := expand(base)
	targetText, targetOK := expand(target)
	if !baseOK || !targetOK {
		return nil
	}
	return makePatch(baseText, targetText)
}

// patchedDocument returns the document that a patch makes from base, compressed if the text is too large for the store.
func patchedDocument(base, patch []byte) ([]byte, bool) {
	baseText, ok := expand(base)
	if !ok {
		return nil, false
	}
	text, ok := applyPatch(baseText, patch)
	if !ok || len(text) <= config.MaxDocumentBytes {
		return text, ok
	}
	return compress(text)
}

func expand(document []byte) ([]byte, bool) {
	if !bytes.HasPrefix(document, gzipMagic) {
		return document, true
	}
	reader, err := gzip.NewReader(bytes.NewReader(document))
	if err != nil {
		return nil, false
	}
	text, err := io.ReadAll(io.LimitReader(reader, MaxDocumentBytes+1))
	return text, err == nil && len(text) <= MaxDocumentBytes
}

// compress may give other bytes than the sender has; the text decides. It prefers speed, because each gateway
// compresses each revision.
func compress(text []byte) ([]byte, bool) {
	var packed bytes.Buffer
	writer, err := gzip.NewWriterLevel(&packed, gzip.BestSpeed)
	if err != nil {
		return nil, false
	}
	if _, err := writer.Write(text); err != nil {
		return nil, false
	}
	if err := writer.Close(); err != nil {
		return nil, false
	}
	return packed.Bytes(), packed.Len() <= config.MaxDocumentBytes
}
