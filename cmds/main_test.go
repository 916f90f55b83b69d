package cmds_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"dandeliondoor/cmds"
)

// TestCommands runs commands that end at once, and compares what they print.
func TestCommands(t *testing.T) {
	t.Parallel()
	var session strings.Builder
	for _, arguments := range []string{
		"",
		"check testdata/missing.yaml",
		"check testdata/wrong.yaml",
		"completion",
		"nothing",
		"publish testdata/wrong.yaml",
		"publish --log nowhere testdata/right.yaml",
		"publish --log 127.0.0.1:1 testdata/right.yaml",
		"render",
		"render --documents testdata/right.yaml",
		"render --example nobody",
		"serve --settings testdata/wrong.yaml",
		"state --daemon 127.0.0.1:1",
		"status --daemon 127.0.0.1:1 --output json",
	} {
		var stdout, stderr bytes.Buffer
		code := cmds.Main(strings.Fields(arguments), &stdout, &stderr)
		fmt.Fprintf(&session, "$ dandeliondoor %s\n%s%sexit %d\n\n", arguments, &stdout, &stderr, code)
	}
	goldie.New(t).Assert(t, "commands", []byte(session.String()))
}
