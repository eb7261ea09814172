package bench

import (
	"io"
	"os"
	"path/filepath"
)

// save writes the report and its charts to a directory, which it creates if necessary.
func (r *Report) save(directory string) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return err
	}
	base := filepath.Join(directory, r.Experiment)
	if err := writeFile(base+".txt", func(w io.Writer) error { return r.WriteTable(w, CurrentBuild()) }); err != nil {
		return err
	}
	if err := writeFile(base+".csv", r.WriteCSV); err != nil {
		return err
	}
	for _, chart := range r.Charts {
		name := base + "-" + chart.Name
		if err := writeFile(name+".svg", chart.WriteSVG); err != nil {
			return err
		}
		if err := writeFile(name+".csv", chart.WriteCSV); err != nil {
			return err
		}
	}
	return nil
}

func writeFile(path string, write func(io.Writer) error) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := write(file); err != nil {
		return closeAfterError(file, err)
	}
	return file.Close()
}

// closeAfterError closes the file and returns err, which takes precedence over an error of the close.
func closeAfterError(file *os.File, err error) error {
	_ = file.Close()
	return err
}
