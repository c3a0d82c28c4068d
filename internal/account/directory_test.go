package account_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/account"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

func TestOwner(t *testing.T) {
	key := fleet.DigestKey
	d := account.NewDirectory([]fleet.ClientAccount{
		{ID: "a", Keys: []fleet.KeyDigest{key("a-old"), key("a-new"), key("both")}},
		{ID: "b", Keys: []fleet.KeyDigest{key("b"), key("both")}},
		{ID: "none"},
	})
	for text, want := range map[string]fleet.ClientAccountID{"a-old": "a", "a-new": "a", "b": "b", "both": "", "": "", "unknown": ""} {
		t.Run("key "+text, func(t *testing.T) {
			is := is.New(t)
			got, ok := d.Owner(key(text))
			is.Equal(ok, want != "")
			is.Equal(got, want)
		})
	}
}
