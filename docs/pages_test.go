package docs

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"unicode"

	"gotest.tools/v3/assert"
)

// index is the page that links to all other pages.
const index = "README.md"

var (
	// linkTarget captures the target of a Markdown link.
	linkTarget = regexp.MustCompile(`\]\(([^)\s]+)\)`)
	// codeBlock matches a fenced code block. Nothing in it counts as a link or
	// heading.
	codeBlock = regexp.MustCompile("(?ms)^```.*?^```")
	// heading matches a heading and captures its text.
	heading = regexp.MustCompile(`(?m)^#+ +(.+?) *$`)
)

// pages returns the paths of all pages in this folder and its subfolders.
func pages(t *testing.T) []string {
	t.Helper()
	var found []string
	err := filepath.WalkDir(".", func(path string, _ fs.DirEntry, err error) error {
		if filepath.Ext(path) == ".md" {
			found = append(found, path)
		}
		return err
	})
	assert.NilError(t, err)
	return found
}

// textWithoutCode returns the text of a page without fenced code blocks.
func textWithoutCode(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	assert.NilError(t, err)
	return codeBlock.ReplaceAllString(string(text), "")
}

// link is a relative link on a page.
type link struct {
	// path is relative to this folder; anchor may be empty.
	path, anchor string
}

// linksOf returns the relative links on a page.
func linksOf(t *testing.T, page string) []link {
	t.Helper()
	var links []link
	for _, match := range linkTarget.FindAllStringSubmatch(textWithoutCode(t, page), -1) {
		if strings.Contains(match[1], "://") {
			continue
		}
		path, anchor, _ := strings.Cut(match[1], "#")
		if path == "" {
			path = filepath.Base(page)
		}
		links = append(links, link{path: filepath.Join(filepath.Dir(page), path), anchor: anchor})
	}
	return links
}

// anchors returns the anchors of the headings on a page.
func anchors(t *testing.T, page string) map[string]bool {
	t.Helper()
	all := map[string]bool{}
	for _, match := range heading.FindAllStringSubmatch(textWithoutCode(t, page), -1) {
		all[anchorOf(match[1])] = true
	}
	return all
}

// anchorOf returns the anchor of a heading.
func anchorOf(title string) string {
	return strings.Map(func(r rune) rune {
		switch {
		case r == ' ':
			return '-'
		case unicode.IsLetter(r), unicode.IsDigit(r), r == '-', r == '_':
			return unicode.ToLower(r)
		default:
			return -1
		}
	}, title)
}

func TestIndexLinksEveryPage(t *testing.T) {
	linked := map[string]bool{index: true}
	for _, l := range linksOf(t, index) {
		linked[l.path] = true
	}
	for _, page := range pages(t) {
		if !linked[page] {
			t.Errorf("%s does not link %s", index, page)
		}
	}
}

func TestLinksBetweenPagesResolve(t *testing.T) {
	for _, page := range pages(t) {
		for _, l := range linksOf(t, page) {
			if _, err := os.Stat(l.path); err != nil {
				t.Errorf("%s links %s, which does not exist", page, l.path)
				continue
			}
			if l.anchor != "" && !anchors(t, l.path)[l.anchor] {
				t.Errorf("%s links %s#%s, which has no such heading", page, l.path, l.anchor)
			}
		}
	}
}
