// Package examples contains the questionnaires of the two example deployments.
package examples

import (
	"embed"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/questionnaire"
)

// Names of the example deployments.
const (
	Moravia = "moravia"
	Kyushu  = "kyushu"
)

//go:embed moravia.ini kyushu.ini
var files embed.FS

// ErrUnknownExample is returned for an unknown name.
var ErrUnknownExample = errors.New("unknown example; use moravia or kyushu")

// Questionnaire returns the questionnaire of an example.
func Questionnaire(name string) ([]byte, error) {
	text, err := files.ReadFile(name + ".ini")
	if err != nil {
		return nil, errors.Wrapf(ErrUnknownExample, "example %q", name)
	}
	return text, nil
}

// Config returns the generated configuration of an example. Its revision and ID are not set.
func Config(name string) (*config.Config, error) {
	text, err := Questionnaire(name)
	if err != nil {
		return nil, err
	}
	result, err := questionnaire.GenerateFromText(text)
	if err != nil {
		return nil, err
	}
	return result.Config, nil
}
