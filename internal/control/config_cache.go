package control

import (
	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/confsync"
)

// configCache caches the last decoded configuration. Without it, each document would be decoded twice: when it becomes
// the held one and when it is put in force. Decoding is the largest part of the cost of a revision.
type configCache struct {
	version confsync.Version
	config  *config.Config
}

// decode returns the configuration of a document, from the cache if possible.
func (d *configCache) decode(document confsync.Document) (*config.Config, error) {
	if d.config != nil && d.version == document.Version {
		return d.config, nil
	}
	c, err := config.DecodeIgnoringUnknown(document.Bytes)
	if err != nil {
		return nil, err
	}
	d.version, d.config = document.Version, c
	return c, nil
}
