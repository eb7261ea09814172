package ctl

import (
	"time"

	"github.com/jessevdk/go-flags"
)

// options holds the options that are common to all commands.
type options struct {
	Gateway   string         `long:"gateway" value-name:"HOST:PORT" env:"PLANK_GATEWAY" description:"Admin address of any gateway"`
	Team      string         `long:"team" value-name:"NAME" env:"PLANK_TEAM" description:"Name of the team. Default: the team of the file"`
	TokenFile flags.Filename `long:"token-file" value-name:"FILE" env:"PLANK_TOKEN_FILE" description:"File with the bearer token. Default: the token in PLANK_TOKEN"`
	Timeout   time.Duration  `long:"timeout" value-name:"DURATION" default:"10s" description:"Timeout of one request to the gateway, with a unit such as 500ms or 10s"`
	JSON      bool           `long:"json" description:"Print JSON in place of text"`
	Version   bool           `long:"version" description:"Print the version and exit"`
}
