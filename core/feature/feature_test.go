package feature

import "testing"

// TestEnabled guards against a feature that is in use in a deployment that does not ask for it.
func TestEnabled(t *testing.T) {
	for _, x := range []struct {
		setting Setting
		hosts   int
		want    bool
	}{
		{Auto, 23, false}, {Auto, 24, true}, {On, 1, true}, {Off, 1000, false}, {"", 1000, false},
	} {
		s := New(x.setting, 24, func() int { return x.hosts })
		if got := s.Enabled(); got != x.want {
			t.Errorf("setting %q with %d hosts: got %t, want %t", x.setting, x.hosts, got, x.want)
		}
	}
}

// TestParse guards against a misspelt setting that counts as one.
func TestParse(t *testing.T) {
	for text, want := range map[string]bool{"auto": true, "on": true, "off": true, "": false, "yes": false, "AUTO": false} {
		if _, err := Parse(text); (err == nil) != want {
			t.Errorf("setting %q: got error %v, want valid %t", text, err, want)
		}
	}
}
