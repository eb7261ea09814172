package confsync

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/sapphireplank/sapphireplank/internal/config"
)

// gzipMagic is the prefix of a compressed document.
var gzipMagic = []byte{0x1f, 0x8b}

// makeDocumentPatch returns a patch between two documents, either of which may be compressed. The patch is computed on
// the uncompressed texts, because a small change of the text alters most of the compressed bytes. It returns nil if a
// document cannot be decompressed.
func makeDocumentPatch(base, target []byte) []byte {
	baseText, baseOK := decompress(base)
	targetText, targetOK := decompress(target)
	if !baseOK || !targetOK {
		return nil
	}
	return makePatch(baseText, targetText)
}

// applyDocumentPatch applies a patch to base. The resulting document is compressed if its text is too large for the
// store.
func applyDocumentPatch(base, patch []byte) ([]byte, bool) {
	baseText, ok := decompress(base)
	if !ok {
		return nil, false
	}
	text, ok := applyPatch(baseText, patch)
	if !ok || len(text) <= config.MaxDocumentBytes {
		return text, ok
	}
	return compress(text)
}

func decompress(document []byte) ([]byte, bool) {
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

// compress compresses a text. The result may differ from the bytes that the sender holds; only the text has to be
// equal. It uses the fastest compression level, because each gateway compresses each revision.
func compress(text []byte) ([]byte, bool) {
	var compressed bytes.Buffer
	writer, err := gzip.NewWriterLevel(&compressed, gzip.BestSpeed)
	if err != nil {
		return nil, false
	}
	if _, err := writer.Write(text); err != nil {
		return nil, false
	}
	if err := writer.Close(); err != nil {
		return nil, false
	}
	return compressed.Bytes(), compressed.Len() <= config.MaxDocumentBytes
}
