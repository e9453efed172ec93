package settings

import (
	"errors"
	"testing"
)

func FuzzSettings(f *testing.F) {
	f.Add([]byte(`{"instance":"a","peer":"10.0.0.1:1","logRetention":"1h","peerTls":{"certificate":"a"}}`))
	f.Add([]byte("{\n\"x\":"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var common Common
		var faults Faults
		err := Decode("s.json", raw, &common)
		if err == nil {
			common.Check(&faults)
			err = faults.Err("s.json")
		}
		if err != nil && !errors.Is(err, ErrInvalid) {
			t.Fatalf("error does not match ErrInvalid: %v", err)
		}
	})
}
