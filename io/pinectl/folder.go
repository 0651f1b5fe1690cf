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

// baseName is the file in a folder that remembers which versions its files
// were published or pulled as.
const baseName = ".pineturn.json"

// base is what a folder's files were when they were last the same as those
// in force. A change replaces just these versions, so that it can't undo what
// others changed since.
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

// remember notes the version of a file's content.
func (b *base) remember(name string, version uint64, content []byte) {
	b.Files[name] = baseFile{Version: version, SHA256: digest(content)}
}

// readBase reads a folder's base; nil when it has none.
func readBase(dir string) (*base, error) {
	content, err := os.ReadFile(filepath.Join(dir, baseName))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read base")
	}
	known := &base{}
	if err := json.Unmarshal(content, known); err != nil || known.Files == nil {
		return nil, errors.Newf("%s: not written by pinectl; remove it and pull again", filepath.Join(dir, baseName))
	}
	return known, nil
}

func (b *base) write(dir string) error {
	content, err := json.MarshalIndent(b, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode base")
	}
	return errors.Wrap(os.WriteFile(filepath.Join(dir, baseName), append(content, '\n'), 0o644), "write base")
}

// readFolder reads a folder's files by name. Names that start with a dot are
// left out; what else is not a file of configuration is a fault.
func readFolder(dir string) ([]config.File, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, errors.Wrap(err, "read folder")
	}
	var files []config.File
	var found []config.Fault
	for _, entry := range entries {
		name := entry.Name()
		if strings.HasPrefix(name, ".") {
			continue
		}
		if text := config.CheckFileName(name); text != "" || entry.IsDir() {
			found = append(found, config.Fault{File: name, Text: or(text, "is a folder; want files only")})
			continue
		}
		content, err := readFile(filepath.Join(dir, name))
		if err != nil {
			return nil, err
		}
		files = append(files, config.File{Name: name, Content: content})
	}
	if len(found) > 0 {
		return nil, &failure{Status: StatusFailed, Code: "refused", Message: dir + ": wrong", Faults: found}
	}
	return files, nil
}

// readFile reads a file, up to one byte more than is allowed.
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
