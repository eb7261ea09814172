package config

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// MaxDocumentBytes is the maximum size of an encoded configuration, which is the value size limit of the platform's
// store.
const MaxDocumentBytes = 1 << 20

// maxDecompressedBytes is the maximum size of the JSON in a compressed document. 11,000 hosts with 1,000 backend
// servers need less than 3 MB.
const maxDecompressedBytes = 8 << 20

var (
	// ErrTooLarge is returned for a document that exceeds MaxDocumentBytes or whose JSON exceeds maxDecompressedBytes.
	ErrTooLarge = errors.New("configuration exceeds 1 MB; split the team or cancel planned stops that are over")
	// ErrSyntax is returned for a document that is not the JSON of a Config.
	ErrSyntax = errors.New("document is not a configuration; send the file that plankctl generate wrote")
)

// gzipMagic is the prefix by which compressed documents are told from plain JSON, which cannot start with it.
var gzipMagic = []byte{0x1f, 0x8b}

// Encode returns the stored form: JSON, compressed with gzip only if the plain JSON exceeds MaxDocumentBytes.
func (c *Config) Encode() ([]byte, error) {
	text, err := json.Marshal(c)
	if err != nil {
		return nil, errors.Wrap(err, "encode configuration")
	}
	if len(text) <= MaxDocumentBytes {
		return text, nil
	}
	if len(text) > maxDecompressedBytes {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes of JSON", len(text))
	}
	compressed, err := compress(text)
	if err != nil {
		return nil, errors.Wrap(err, "compress configuration")
	}
	if len(compressed) > MaxDocumentBytes {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes compressed", len(compressed))
	}
	return compressed, nil
}

func compress(text []byte) ([]byte, error) {
	var compressed bytes.Buffer
	writer := gzip.NewWriter(&compressed)
	if _, err := writer.Write(text); err != nil {
		return nil, err
	}
	err := writer.Close()
	return compressed.Bytes(), err
}

// Decode parses the stored form. It rejects unknown JSON members, so that a misspelt setting is not silently ignored.
// It does not validate the configuration.
func Decode(document []byte) (*Config, error) {
	return decode(document, true)
}

// DecodeIgnoringUnknown parses the stored form and ignores JSON members that this version does not know, so that
// gateways of two versions can run side by side. The configuration must not be stored again, because that would drop
// those members.
func DecodeIgnoringUnknown(document []byte) (*Config, error) {
	return decode(document, false)
}

func decode(document []byte, strict bool) (*Config, error) {
	if len(document) > MaxDocumentBytes {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes", len(document))
	}
	text, err := decompress(document)
	if err != nil {
		return nil, err
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	if strict {
		decoder.DisallowUnknownFields()
	}
	c := &Config{}
	if err := decoder.Decode(c); err != nil {
		return nil, errors.Wrapf(ErrSyntax, "%s", err.Error())
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, errors.Wrap(ErrSyntax, "text after the end of the document")
	}
	return c, nil
}

func decompress(document []byte) ([]byte, error) {
	if !bytes.HasPrefix(document, gzipMagic) {
		return document, nil
	}
	reader, err := gzip.NewReader(bytes.NewReader(document))
	if err != nil {
		return nil, errors.Wrapf(ErrSyntax, "%s", err.Error())
	}
	text, err := io.ReadAll(io.LimitReader(reader, maxDecompressedBytes+1))
	if err != nil {
		return nil, errors.Wrapf(ErrSyntax, "%s", err.Error())
	}
	if len(text) > maxDecompressedBytes {
		return nil, errors.Wrapf(ErrTooLarge, "more than %d bytes of JSON", maxDecompressedBytes)
	}
	return text, nil
}

// Clone returns a deep copy, except that the stored placements of both share their lists of cells.
func (c *Config) Clone() *Config {
	clone := *c
	clone.Zones = append([]Zone(nil), c.Zones...)
	clone.Hosts = append([]Host(nil), c.Hosts...)
	clone.Stops = append([]Stop(nil), c.Stops...)
	clone.Placements = append([]StoredPlacement(nil), c.Placements...)
	clone.History = append([]Accepted(nil), c.History...)
	clone.Services = append([]Service(nil), c.Services...)
	for i := range clone.Services {
		clone.Services[i].Idempotent = append([]Rule{}, c.Services[i].Idempotent...)
		clone.Services[i].Servers = append([]Server(nil), c.Services[i].Servers...)
	}
	return &clone
}
