package command

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"
)

// print writes a message as JSON, or calls table to write it as a table.
func (c *cli) print(m proto.Message, table func(*tabwriter.Writer)) error {
	data, err := protojson.MarshalOptions{EmitUnpopulated: false}.Marshal(m)
	if err != nil {
		return trace.Wrap(err)
	}
	return c.printJSON(data, table)
}

// printValues writes named values as JSON, or calls table to write them as a table.
func (c *cli) printValues(values map[string]string, table func(*tabwriter.Writer)) error {
	data, err := json.Marshal(values)
	if err != nil {
		return trace.Wrap(err)
	}
	return c.printJSON(data, table)
}

func (c *cli) printJSON(data []byte, table func(*tabwriter.Writer)) error {
	if Format(c.format) == FormatJSON {
		// The white space of protojson varies between runs, which breaks scripts that compare output.
		var b bytes.Buffer
		if err := json.Indent(&b, data, "", "  "); err != nil {
			return trace.Wrap(err)
		}
		_, err := fmt.Fprintln(c.output, b.String())
		return trace.Wrap(err)
	}
	w := tabwriter.NewWriter(c.output, 0, 8, 2, ' ', 0)
	table(w)
	return trace.Wrap(w.Flush())
}

// writeRow writes one row of a table; empty cells become "-".
func writeRow(w *tabwriter.Writer, cells ...string) {
	for i, cell := range cells {
		if cell == "" {
			cells[i] = "-"
		}
	}
	_, _ = fmt.Fprintln(w, strings.Join(cells, "\t"))
}

// writeRows writes the same cells for each item below a heading.
func writeRows[T proto.Message](w *tabwriter.Writer, heading []string, items []T, cells func(T) []string) {
	writeRow(w, heading...)
	for _, item := range items {
		writeRow(w, cells(item)...)
	}
}

func countText(n uint32) string { return fmt.Sprint(n) }

// limitText formats a limit; 0 means no limit and becomes empty.
func limitText(n uint32) string {
	if n == 0 {
		return ""
	}
	return fmt.Sprint(n)
}

func yesNo(v bool) string {
	if v {
		return "yes"
	}
	return "no"
}

func instantText(t *timestamppb.Timestamp) string {
	if t == nil {
		return ""
	}
	return t.AsTime().UTC().Format(time.RFC3339)
}

// saturate converts the value of a flag. A value that does not fit becomes the largest one, which the
// entry then refuses with the bound of the field.
func saturate(n uint) uint32 { return uint32(min(n, math.MaxUint32)) }
