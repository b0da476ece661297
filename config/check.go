package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/ragwortyard/ragwortyard/pipeline"
)

// fileSuffix is the suffix of files that contain values: the value "fleet" is in
// the file fleet.json.
const fileSuffix = ".json"

// CheckReport is the result of validating a directory of values.
type CheckReport struct {
	Version  uint64 // 0 if there are problems
	Services int
	Classes  int
	Routes   int
	Teams    int
	Keys     int
	Problems Problems
}

// OK reports whether the configuration is valid.
func (r *CheckReport) OK() bool { return len(r.Problems) == 0 }

// CheckDir validates the values in the files of a directory. It returns an error
// only if the files cannot be read.
func CheckDir(dir string) (*CheckReport, error) {
	return CheckFS(os.DirFS(dir))
}

// CheckFS validates the values in manifest.json, fleet.json, teams-0.json and so
// on. Any other JSON file is reported as a problem, since it would not be
// published.
func CheckFS(files fs.FS) (*CheckReport, error) {
	values, err := readValues(files)
	if err != nil {
		return nil, err
	}
	manifest := values[ManifestName]
	delete(values, ManifestName)
	cfg, problems := Parse(manifest, values)
	problems = append(problems, unexpectedValues(manifest, values)...)
	if len(problems) > 0 {
		return &CheckReport{Problems: problems}, nil
	}
	return summarize(cfg), nil
}

func readValues(files fs.FS) (map[string][]byte, error) {
	names, err := fs.Glob(files, "*"+fileSuffix)
	if err != nil {
		return nil, eris.Wrap(err, "list the directory")
	}
	if _, err := fs.ReadDir(files, "."); err != nil {
		return nil, eris.Wrap(err, "read the directory")
	}
	values := make(map[string][]byte, len(names))
	for _, name := range names {
		data, err := readValue(files, name)
		if err != nil {
			return nil, eris.Wrapf(err, "read %s", name)
		}
		values[strings.TrimSuffix(name, fileSuffix)] = data
	}
	return values, nil
}

// readValue reads a file up to one byte beyond MaxValueSize, which is enough for
// the parser to reject a value that is too large.
func readValue(files fs.FS, name string) ([]byte, error) {
	file, err := files.Open(name)
	if err != nil {
		return nil, err
	}
	data, err := io.ReadAll(io.LimitReader(file, MaxValueSize+1))
	return data, errors.Join(err, file.Close())
}

// unexpectedValues reports values that are not part of the configuration. It reports
// none if the number of team parts in the manifest is invalid.
func unexpectedValues(manifest []byte, values map[string][]byte) (problems Problems) {
	d := newDraft(nil, manifest, nil)
	readManifest(d)
	checkManifest(d)
	if d.decodedManifest.TeamParts == 0 {
		return nil
	}
	known := partNames(d.decodedManifest.TeamParts)
	for _, name := range slices.Sorted(maps.Keys(values)) {
		if !slices.Contains(known, name) {
			problems = append(problems, Problem{
				Code:    pipeline.CodeConfigReference,
				Part:    name,
				Message: "the file is not a value of this configuration",
			})
		}
	}
	return problems
}

func summarize(cfg *Config) *CheckReport {
	report := &CheckReport{
		Version:  cfg.Version(),
		Services: len(cfg.Services()),
		Classes:  len(cfg.Classes()),
		Routes:   len(cfg.Routes()),
	}
	cfg.EachTeam(func(team *Team) bool {
		report.Teams++
		report.Keys += len(team.Keys)
		return true
	})
	return report
}

// WriteText writes one line per problem, with file, field, code and message, and a
// summary.
func (r *CheckReport) WriteText(w io.Writer) error {
	var b strings.Builder
	for _, p := range r.Problems {
		place := p.Part + fileSuffix
		if p.Path != "" {
			place += ": " + p.Path
		}
		fmt.Fprintf(&b, "%s: %v: %s\n", place, p.Code, p.Message)
	}
	if r.OK() {
		fmt.Fprintf(&b, "version %d is valid: %d services, %d classes, %d routes, %d teams, %d keys\n",
			r.Version, r.Services, r.Classes, r.Routes, r.Teams, r.Keys)
	} else {
		fmt.Fprintf(&b, "refused: %d problems\n", len(r.Problems))
	}
	_, err := io.WriteString(w, b.String())
	return eris.Wrap(err, "write the report")
}

type checkReportJSON struct {
	OK       bool          `json:"ok"`
	Version  uint64        `json:"version,omitempty"`
	Services int           `json:"services"`
	Classes  int           `json:"classes"`
	Routes   int           `json:"routes"`
	Teams    int           `json:"teams"`
	Keys     int           `json:"keys"`
	Problems []problemJSON `json:"problems"`
}

type problemJSON struct {
	Code    uint16 `json:"code"`
	Name    string `json:"name"`
	File    string `json:"file"`
	Path    string `json:"path"`
	Message string `json:"message"`
}

// WriteJSON writes the report as one JSON object.
func (r *CheckReport) WriteJSON(w io.Writer) error {
	out := checkReportJSON{r.OK(), r.Version, r.Services, r.Classes, r.Routes, r.Teams, r.Keys, []problemJSON{}}
	for _, p := range r.Problems {
		out.Problems = append(out.Problems, problemJSON{
			Code:    uint16(p.Code),
			Name:    p.Code.Info().Name,
			File:    p.Part + fileSuffix,
			Path:    p.Path,
			Message: p.Message,
		})
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return eris.Wrap(encoder.Encode(out), "write the report")
}
