package settings_test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/sequoiapick/sequoiapick/internal/settings"
)

func parse(t *testing.T, args ...string) settings.Settings {
	t.Helper()
	var s settings.Settings
	fs := flag.NewFlagSet("test", flag.ContinueOnError)
	s.Register(fs)
	if err := fs.Parse(append([]string{"-host", "h", "-data-centre", "d"}, args...)); err != nil {
		t.Fatal(err)
	}
	s.ApplyDefaults()
	return s
}

func TestInvalidSettingErrorContainsNameValueAndAllowed(t *testing.T) {
	for _, c := range []struct{ flag, value, message string }{
		{"-host", "a b", `setting host has the value "a b", allowed is a name`},
		{"-caller-address", "localhost:1", `setting caller-address has the value "localhost:1", allowed is IP:port`},
		{"-peers", "x", `setting peers has the value "x", allowed is IP:port`},
		{"-caller-address", "10.0.0.1:8080", ""},
		{"-operator-address", "10.0.0.1:8081", `setting operator-token has the value "", allowed is a token`},
		{"-max-body-bytes", "0", `setting max-body-bytes has the value 0, allowed is 1 or more`},
		{"-gossip-interval", "0s", `setting gossip-interval has the value "0s", allowed is a duration above 0`},
		{"-policy", "Best", `setting policy has the value "Best", allowed is Price`},
	} {
		s := parse(t, c.flag, c.value)
		err := s.Check()
		switch {
		case c.message == "" && err != nil:
			t.Errorf("%s %s: %v", c.flag, c.value, err)
		case c.message != "" && (err == nil || !strings.Contains(err.Error(), c.message)):
			t.Errorf("%s %s: got %v, want %s", c.flag, c.value, err, c.message)
		}
	}
}

func TestAccountHeaderOutsideLoopbackIsRejected(t *testing.T) {
	s := parse(t, "-trust-account-header", "-caller-address", "10.0.0.1:8080")
	if s.Check() == nil {
		t.Error("the account header is trusted on an address that isn't a loopback address")
	}
}

func TestSettingsPageListsEveryFlag(t *testing.T) {
	body, err := os.ReadFile("../../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	var s settings.Settings
	fs := flag.NewFlagSet("test", flag.ContinueOnError)
	s.Register(fs)
	fs.VisitAll(func(f *flag.Flag) {
		if row := fmt.Sprintf("| %s | %s | %s |", f.Name, f.DefValue, f.Usage); !strings.Contains(string(body), row) {
			t.Errorf("docs/SETTINGS.md has no row %q", row)
		}
	})
}
