package control

// The kinds of decision that are logged. The numbers are listed in docs/EVENTS.md.
const (
	// DecisionTarget: an entry chose a target for a request.
	DecisionTarget DecisionCode = 2001
	// DecisionRetry: an entry retries a request at another target.
	DecisionRetry DecisionCode = 2002
	// DecisionOwner: an entry sends a request to the owner of its key.
	DecisionOwner DecisionCode = 2003
	// DecisionRefuse: an entry refused a request.
	DecisionRefuse DecisionCode = 2004
	// DecisionAdmit: an agent started an attempt.
	DecisionAdmit DecisionCode = 2101
	// DecisionRefuseAttempt: an agent refused an attempt.
	DecisionRefuseAttempt DecisionCode = 2102
	// DecisionLimit: an agent reset a target's limit to the cold limit.
	DecisionLimit DecisionCode = 2103
	// DecisionKey: an attempt shares the response of another one with the same key.
	DecisionKey DecisionCode = 2104
	// DecisionMap: a rank began a generation or switched to another expert map.
	DecisionMap DecisionCode = 2201
	// DecisionPropose: a coordinator proposed an expert map to a group.
	DecisionPropose DecisionCode = 2202
)
