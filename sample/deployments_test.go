package sample_test

import (
	"bytes"
	"testing"

	"github.com/sebdah/goldie/v2"

	"dandeliondoor/decl"
	"dandeliondoor/sample"
)

func TestDeployments(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name       string
		deployment *decl.Deployment
	}{
		{name: "cantabria", deployment: sample.Cantabria(sample.CantabriaSizes, sample.PrivateAddresses)},
		{name: "fes", deployment: sample.Fes(sample.FesSizes, sample.PrivateAddresses)},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			var text bytes.Buffer
			if err := test.deployment.Print(&text); err != nil {
				t.Fatal(err)
			}
			goldie.New(t).Assert(t, test.name, text.Bytes())
		})
	}
}
