package ctl

import (
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/questionnaire"
)

// readFile reads at most one byte more than a questionnaire or configuration may have, so that both report the size
// themselves.
func readFile(name string) ([]byte, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "name a readable file")
	}
	defer file.Close()
	text, err := io.ReadAll(io.LimitReader(file, max(questionnaire.MaxBytes, config.MaxDocumentBytes)+1))
	return text, errors.Wrap(err, "name a readable file")
}

// readConfig reads a questionnaire, or a generated configuration if the name ends with .json.
func readConfig(name string) (*config.Config, error) {
	text, err := readFile(name)
	if err != nil {
		return nil, err
	}
	if !strings.HasSuffix(name, ".json") {
		result, err := questionnaire.GenerateFromText(text)
		if err != nil {
			return nil, err
		}
		return result.Config, nil
	}
	c, err := config.Decode(text)
	if err != nil {
		return nil, err
	}
	return c, c.Validate()
}

// writeFile writes a whole file or nothing.
func writeFile(name string, text []byte) error {
	temporary, err := os.CreateTemp(filepath.Dir(name), ".plankctl-*")
	if err != nil {
		return errors.Wrap(err, "name a directory that can be written")
	}
	defer os.Remove(temporary.Name())
	_, err = temporary.Write(text)
	if err = errors.CombineErrors(err, temporary.Close()); err != nil {
		return errors.Wrap(err, "free some space")
	}
	if err := os.Chmod(temporary.Name(), fileMode); err != nil {
		return errors.Wrap(err, "name a directory that can be written")
	}
	return errors.Wrap(os.Rename(temporary.Name(), name), "name a file that can be replaced")
}

// fileMode lets other operators read generated files, which hold no secrets.
const fileMode = 0o644

// writeNewFile writes a file that does not exist yet.
func writeNewFile(name string, text []byte) error {
	file, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_EXCL, fileMode)
	if errors.Is(err, os.ErrExist) {
		return errors.Newf("%s exists; name another file or remove it", name)
	}
	if err != nil {
		return errors.Wrap(err, "name a file that can be written")
	}
	_, err = file.Write(text)
	return errors.Wrap(errors.CombineErrors(err, file.Close()), "free some space")
}
