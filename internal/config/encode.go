package config

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// MaxDocumentBytes is the largest stored form of a configuration. It is the largest value of the store.
const MaxDocumentBytes = 1 << 20

// maxExpandedBytes bounds the JSON text of a compressed document. 11,000 hosts with 1,000 backend servers
// need less than 3 MB.
const maxExpandedBytes = 8 << 20

// Errors of Encode and Decode.
var (
	ErrTooLarge = errors.New("configuration exceeds 1 MB; split the team or cancel planned stops that are over")
	ErrSyntax   = errors.New("document is not a configuration; send the file that plankctl generate wrote")
)

// gzipMagic starts every compressed document. JSON text cannot start with it.
var gzipMagic = []byte{0x1f, 0x8b}

// Encode returns the stored form: JSON, or compressed JSON if the text alone exceeds MaxDocumentBytes.
func (c *Config) Encode() ([]byte, error) {
	text, err := json.Marshal(c)
	if err != nil {
		return nil, errors.Wrap(err, "encode configuration")
	}
	if len(text) <= MaxDocumentBytes {
		return text, nil
	}
	if len(text) > maxExpandedBytes {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes of JSON", len(text))
	}
	packed, err := compress(text)
	if err != nil {
		return nil, errors.Wrap(err, "compress configuration")
	}
	if len(packed) > MaxDocumentBytes {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes compressed", len(packed))
	}
	return packed, nil
}

func compress(text []byte) ([]byte, error) {
	var packed bytes.Buffer
	writer := gzip.NewWriter(&packed)
	if _, err := writer.Write(text); err != nil {
		return nil, err
	}
	err := writer.Close()
	return packed.Bytes(), err
}

// Decode reads the stored form. It refuses unknown members, so that a setting with a misspelt name is not
// dropped silently. It does not validate.
func Decode(document []byte) (*Config, error) {
	return decode(document, true)
}

// DecodeIgnoringUnknown reads the stored form and ignores members that this version does not know, so that gateways of two
// versions can run side by side. Its result must not be stored again, because that would drop those members.
func DecodeIgnoringUnknown(document []byte) (*Config, error) {
	return decode(document, false)
}

func decode(document []byte, strict bool) (*Config, error) {
	if len(document) > MaxDocumentBytes {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes", len(document))
	}
	text, err := expand(document)
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

func expand(document []byte) ([]byte, error) {
	if !bytes.HasPrefix(document, gzipMagic) {
		return document, nil
	}
	reader, err := gzip.NewReader(bytes.NewReader(document))
	if err != nil {
		return nil, errors.Wrapf(ErrSyntax, "%s", err.Error())
	}
	text, err := io.ReadAll(io.LimitReader(reader, maxExpandedBytes+1))
	if err != nil {
		return nil, errors.Wrapf(ErrSyntax, "%s", err.Error())
	}
	if len(text) > maxExpandedBytes {
		return nil, errors.Wrapf(ErrTooLarge, "more than %d bytes of JSON", maxExpandedBytes)
	}
	return text, nil
}

// Clone returns a deep copy.
func (c *Config) Clone() *Config {
	clone := *c
	clone.Zones = append([]Zone(nil), c.Zones...)
	clone.Hosts = append([]Host(nil), c.Hosts...)
	clone.Stops = append([]PlannedStop(nil), c.Stops...)
	clone.Placements = append([]StoredPlacement(nil), c.Placements...)
	clone.History = append([]HistoryEntry(nil), c.History...)
	clone.Services = append([]Service(nil), c.Services...)
	for i := range clone.Services {
		clone.Services[i].Idempotent = append([]Rule{}, c.Services[i].Idempotent...)
		clone.Services[i].Servers = append([]Server(nil), c.Services[i].Servers...)
	}
	return &clone
}
