package control

import (
	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/confsync"
)

// decodedConfig keeps the last decoded configuration, because a document is first held and then put in force, and
// decoding dominates the cost of a revision.
type decodedConfig struct {
	version confsync.Version
	config  *config.Config
}

// of returns the decoded configuration of a document.
func (d *decodedConfig) of(document confsync.Document) (*config.Config, error) {
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
