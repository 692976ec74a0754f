package metrics

import (
	"fmt"
	"strings"
)

const pageHead = `# Counters

Every daemon serves its counters as JSON at ` + "`/debug/vars`" + `: one object per
group, with the names below. Counters start at 0 with the process and only
increase; compare two readings to get a rate. A name that ends in ` + "`*`" + ` stands
for all names with that prefix.

This page is generated from the catalog in ` + "`internal/metrics`" + ` by
` + "`go test ./internal/metrics -update`" + `.
`

// Page returns the catalog as a Markdown page.
func Page() string {
	var b strings.Builder
	b.WriteString(pageHead)
	for _, group := range Catalog() {
		writeGroup(&b, &group)
	}
	return b.String()
}

func writeGroup(b *strings.Builder, group *Group) {
	fmt.Fprintf(b, "\n## %s\n\n%s\n\n", group.Name, group.Help)
	b.WriteString("| name | kind | unit | meaning | what to do |\n")
	b.WriteString("| --- | --- | --- | --- | --- |\n")
	for _, d := range group.Values {
		fmt.Fprintf(b, "| `%s` | %s | %s | %s | %s |\n", d.Name, d.Kind, d.Unit, d.Help, d.Action)
	}
}
