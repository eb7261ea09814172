package confsync

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/config"
)

// ErrDocument is the error of documents that cannot be read.
var ErrDocument = errors.New("not an encoded configuration; accept the configuration again")

// EncodeConfig returns the document of a configuration.
func EncodeConfig(c *config.Config) (Document, error) {
	data, err := json.Marshal(c)
	if err != nil {
		return Document{}, errors.Wrapf(err, "encode revision %d", c.Revision)
	}
	return Document{Version: Version{Revision: c.Revision, ID: c.ID}, Bytes: data}, nil
}

// DecodeConfig returns the configuration of a document.
func DecodeConfig(document Document) (*config.Config, error) {
	var c config.Config
	if err := json.Unmarshal(document.Bytes, &c); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDocument, err)
	}
	if c.Revision != document.Revision || c.ID != document.ID {
		return nil, errors.Wrapf(ErrDocument, "revision %d inside a document of revision %d", c.Revision, document.Revision)
	}
	return &c, nil
}

// RebaseConfig is the Rebase of Options for documents of EncodeConfig.
func RebaseConfig(document Document, revision uint64) (Document, error) {
	c, err := DecodeConfig(document)
	if err != nil {
		return Document{}, err
	}
	c.Revision = revision
	c.ID = fmt.Sprintf("%s+%d", document.ID, revision)
	return EncodeConfig(c)
}

// EncodeValue returns the value of a document in the store. It is compressed, because the store takes 1 MB.
func EncodeValue(document Document) ([]byte, error) {
	var buffer bytes.Buffer
	compressor := gzip.NewWriter(&buffer)
	if _, err := compressor.Write(document.Bytes); err != nil {
		return nil, errors.Wrap(err, "compress configuration")
	}
	if err := compressor.Close(); err != nil {
		return nil, errors.Wrap(err, "compress configuration")
	}
	return buffer.Bytes(), nil
}

// DecodeValue returns the document of a value in the store.
func DecodeValue(value []byte) (Document, error) {
	expander, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return Document{}, fmt.Errorf("%w: %w", ErrDocument, err)
	}
	data, err := io.ReadAll(io.LimitReader(expander, MaxDocumentBytes+1))
	if err != nil {
		return Document{}, fmt.Errorf("%w: %w", ErrDocument, err)
	}
	if len(data) > MaxDocumentBytes {
		return Document{}, errors.Wrapf(ErrDocument, "value expands to more than %d bytes", MaxDocumentBytes)
	}
	var head struct {
		Revision uint64 `json:"revision"`
		ID       string `json:"id"`
	}
	if err := json.Unmarshal(data, &head); err != nil {
		return Document{}, fmt.Errorf("%w: %w", ErrDocument, err)
	}
	return Document{Version: Version{Revision: head.Revision, ID: head.ID}, Bytes: data}, nil
}
