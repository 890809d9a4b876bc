package ringgraph

import "strings"

// pageHead is the beginning of the page.
const pageHead = `# Rings, and who waits for whom

This page is made from the source by package ringgraph and checked by its tests; ` + "`GOWORK=off go test -update .`" + ` in that folder writes it anew. [Design](../design.md#23-duties-and-rings) 2.3 has the reasons for the sizes and policies.

A reader is the function that takes the elements of a ring. Functions are written with their package. "…" stands for what is not constant.

## Rings

| ring | name | capacity | policy when full | read by | pushed to by |
|---|---|---|---|---|---|
`

// waitsHead is the beginning of the part on waits.
const waitsHead = `
## Waits

A reader waits for another one while it pushes to a ring with policy Block that is full, or for a reply. Waits end with their context, but not all contexts have a deadline, so that a cycle could stop its readers for ever. A test fails on any cycle. Calls of other processes are bounded by their timeouts and are not listed.

| reader | waits for | reason | by way of |
|---|---|---|---|
`

// Page returns the graph as a page in Markdown.
func (g *Graph) Page() string {
	var b strings.Builder
	b.WriteString(pageHead)
	for _, r := range g.Rings {
		writeRow(&b, code(r.Field), r.Name, r.Capacity, r.Policy, codes(r.Readers), codes(r.Pushers))
	}
	b.WriteString(waitsHead)
	for _, w := range g.Waits {
		through := w.Through[min(1, len(w.Through)):]
		writeRow(&b, code(w.Reader), code(w.Other), w.Reason, codes(through))
	}
	return b.String()
}

func writeRow(b *strings.Builder, cells ...string) {
	b.WriteString("| " + strings.Join(cells, " | ") + " |\n")
}

func code(name string) string { return "`" + name + "`" }

func codes(names []string) string {
	list := make([]string, len(names))
	for i, n := range names {
		list[i] = code(n)
	}
	return strings.Join(list, ", ")
}
