package control

// The kinds of decision that are logged; the numbers are in docs/EVENTS.md.
const (
	DecisionTarget        DecisionCode = 2001
	DecisionRetry         DecisionCode = 2002
	DecisionOwner         DecisionCode = 2003
	DecisionRefuse        DecisionCode = 2004
	DecisionAdmit         DecisionCode = 2101
	DecisionRefuseAttempt DecisionCode = 2102
	DecisionLimit         DecisionCode = 2103
	DecisionKey           DecisionCode = 2104
	DecisionMap           DecisionCode = 2201
	// DecisionPropose is a coordinator's proposal to a group.
	DecisionPropose DecisionCode = 2202
)
