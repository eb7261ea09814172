package config

import "testing"

// Guards against a gateway that rejects the configuration of a newer version, or that drops its new members when it
// writes the configuration back to the store.
func TestUnknownMembersAreReadButNotStored(t *testing.T) {
	document := []byte(`{"revision":3,"id":"a","team":"t","preference":"","zones":[],"hosts":[],"services":[],"new":1}`)
	c, err := DecodeIgnoringUnknown(document)
	if err != nil || c.Revision != 3 {
		t.Errorf("DecodeIgnoringUnknown: %v, %v", c, err)
	}
	if _, err := Decode(document); err == nil {
		t.Error("Decode accepted an unknown member, which the next Encode would drop")
	}
}
