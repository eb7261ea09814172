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

// readFile reads at most one byte more than the size limit of questionnaires and configurations, so that their parsers
// can detect and report a file that is too large.
func readFile(name string) ([]byte, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "cannot read the input file; choose a readable one")
	}
	defer file.Close()
	text, err := io.ReadAll(io.LimitReader(file, max(questionnaire.MaxBytes, config.MaxDocumentBytes)+1))
	return text, errors.Wrap(err, "cannot read the input file; choose a readable one")
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

// writeFile writes the file atomically: it writes a temporary file and renames it.
func writeFile(name string, text []byte) error {
	temporary, err := os.CreateTemp(filepath.Dir(name), ".plankctl-*")
	if err != nil {
		return errors.Wrap(err, "cannot create a file in the target directory; choose a writable directory")
	}
	defer os.Remove(temporary.Name())
	_, err = temporary.Write(text)
	if err = errors.CombineErrors(err, temporary.Close()); err != nil {
		return errors.Wrap(err, "cannot write the file; check the free disk space")
	}
	if err := os.Chmod(temporary.Name(), fileMode); err != nil {
		return errors.Wrap(err, "cannot set the file mode; choose another target directory")
	}
	return errors.Wrap(os.Rename(temporary.Name(), name), "cannot replace the target file; choose another name")
}

// fileMode makes generated files readable by other operators. They contain no secrets.
const fileMode = 0o644

// writeNewFile writes a new file and fails if it already exists.
func writeNewFile(name string, text []byte) error {
	file, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_EXCL, fileMode)
	if errors.Is(err, os.ErrExist) {
		return errors.Newf("%s already exists; choose another name or remove the file", name)
	}
	if err != nil {
		return errors.Wrap(err, "cannot create the file; choose a writable path")
	}
	_, err = file.Write(text)
	return errors.Wrap(errors.CombineErrors(err, file.Close()), "cannot write the file; check the free disk space")
}
