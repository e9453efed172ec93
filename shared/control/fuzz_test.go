package control

import (
	"errors"
	"testing"

	"chervilswitch.example/shared/platform"
)

func FuzzRecord(f *testing.F) {
	f.Add([]byte(`{"format":1,"id":"a","kind":"change","base":0,"edits":[{"collection":"dataCentres","name":"x","value":{}}]}`))
	f.Add([]byte(`{"format":1,"id":"s","kind":"snapshot","snapshot":{"at":0,"part":0,"parts":1}}`))
	f.Add([]byte(`{"format":1,"id":"c","kind":"claim","claim":{"instance":"i","incarnation":1}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		record, err := DecodeRecord(data)
		if err != nil && !errors.Is(err, ErrInvalidRecord) {
			t.Fatalf("error does not match ErrInvalidRecord: %v", err)
		}
		var c Config
		c.Apply(platform.Record{Offset: 1, Data: data})
		c.Apply(platform.Record{Offset: 2, Data: data})
		if err == nil && c.Ready() && c.Inventory().Check() != nil {
			t.Fatalf("record %q produced an invalid inventory: %v", record.ID, c.Inventory().Check())
		}
	})
}

func FuzzIntent(f *testing.F) {
	f.Add([]byte(`{"format":1,"instance":"i","incarnation":1,"keys":[{"key":"k","fingerprint":2}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := DecodeIntent(data); err != nil && !errors.Is(err, ErrInvalidRecord) {
			t.Fatalf("error does not match ErrInvalidRecord: %v", err)
		}
	})
}
