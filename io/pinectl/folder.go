package pinectl

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"

	"pineturn/core/config"
)

// baseName is the name of the file in a folder that records at which versions the
// folder's files were published or pulled.
const baseName = ".pineturn.json"

// base records the version and the digest of a folder's files when they were last
// equal to the files in force. A change replaces only these versions, so that it
// can't revert later changes by others.
type base struct {
	Files map[string]baseFile `json:"files"`
}

type baseFile struct {
	Version uint64 `json:"version"`
	SHA256  string `json:"sha256"`
}

func digest(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// setFile records the version of a file's content.
func (b *base) setFile(name string, version uint64, content []byte) {
	b.Files[name] = baseFile{Version: version, SHA256: digest(content)}
}

// readBase reads a folder's base. It returns nil if the folder has none.
func readBase(dir string) (*base, error) {
	content, err := os.ReadFile(filepath.Join(dir, baseName))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read base file")
	}
	b := &base{}
	if err := json.Unmarshal(content, b); err != nil || b.Files == nil {
		return nil, errors.Newf("%s: not written by pinectl; remove it and pull again", filepath.Join(dir, baseName))
	}
	return b, nil
}

func (b *base) write(dir string) error {
	content, err := json.MarshalIndent(b, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode base")
	}
	return errors.Wrap(os.WriteFile(filepath.Join(dir, baseName), append(content, '\n'), 0o644), "write base file")
}

// readFolder reads a folder's files in the order of their names. Names that start
// with a dot are skipped. Any other entry that is not a configuration file is
// reported as a fault.
func readFolder(dir string) ([]config.File, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, errors.Wrap(err, "read folder")
	}
	var files []config.File
	var faults []config.Fault
	for _, entry := range entries {
		name := entry.Name()
		if strings.HasPrefix(name, ".") {
			continue
		}
		if text := config.CheckFileName(name); text != "" || entry.IsDir() {
			faults = append(faults, config.Fault{File: name, Text: orDefault(text, "is a folder; want files only")})
			continue
		}
		content, err := readFile(filepath.Join(dir, name))
		if err != nil {
			return nil, err
		}
		files = append(files, config.File{Name: name, Content: content})
	}
	if len(faults) > 0 {
		return nil, &failure{Status: StatusFailed, Code: "refused", Message: dir + ": invalid entries", Faults: faults}
	}
	return files, nil
}

// readFile reads a file up to one byte more than config.MaxFileSize, so that a file
// above the limit is detected when it is checked.
func readFile(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "read file")
	}
	content, err := io.ReadAll(io.LimitReader(file, config.MaxFileSize+1))
	if err = errors.CombineErrors(err, file.Close()); err != nil {
		return nil, errors.Wrapf(err, "read %s", path)
	}
	return content, nil
}
