package peer

import "chervilswitch.example/shared/platform"

// Status is the state of an entry and its peers, as reported to operators.
type Status struct {
	Instance   string `json:"instance"`
	DataCentre string `json:"dataCentre"`
	// Gate is the control.GateState, which determines whether the entry may accept new
	// work.
	Gate string `json:"gate"`
	// Applied is the offset of the last applied record of the configuration, and Latest
	// that of the last accepted change.
	Applied  platform.Offset `json:"applied"`
	Latest   platform.Offset `json:"latest"`
	Draining bool            `json:"draining"`
	Peers    []PeerStatus    `json:"peers"`
}

// PeerStatus is the state of a peer that responded recently.
type PeerStatus struct {
	Instance   string          `json:"instance"`
	DataCentre string          `json:"dataCentre"`
	Role       string          `json:"role"`
	Applied    platform.Offset `json:"applied"`
	Running    int             `json:"running"`
	Limit      int             `json:"limit"`
	Cold       bool            `json:"cold"`
	Closed     bool            `json:"closed"`
}
