// Package events writes structured log lines with stable event numbers and names, as
// JSON and without blocking the caller.
package events

import "github.com/apex/log"

// Event is the number of one kind of log line. docs/EVENTS.md describes all of them.
type Event int

// The events. Numbers from 2000 on record decisions and their results.
const (
	Started         Event = 1001
	Stopping        Event = 1002
	Stopped         Event = 1003
	ChangeRead      Event = 1101
	LogUnreadable   Event = 1102
	AppendUncertain Event = 1103
	AppendDropped   Event = 1104
	PeerLost        Event = 1201
	TargetFailed    Event = 1301
	RequestFailed   Event = 1302
	TargetChosen    Event = 2001
	RequestRetried  Event = 2002
	KeyFollowed     Event = 2003
	RequestRefused  Event = 2004
	AttemptAdmitted Event = 2101
	AttemptRefused  Event = 2102
	LimitChanged    Event = 2103
	KeyJoined       Event = 2104
	MapAdopted      Event = 2201
	MapProposed     Event = 2202

	DependencyLost     Event = 1203
	DependencyRegained Event = 1204
	SettingsReloaded   Event = 1004
	RecordUnreadable   Event = 1105
	ConfigurationTaken Event = 1106
	TargetsChanged     Event = 1107
	EntriesChanged     Event = 1108
	TopicListed        Event = 1109
	RecordIgnored      Event = 1110
	StoreRestored      Event = 1111
	RequestEnded       Event = 1303
	ClientCut          Event = 1304
	RequestDispatched  Event = 2011
	RequestTurnedAway  Event = 2012
	AttemptEnded       Event = 2013
	StreamResumed      Event = 2014
	LimitsSummary      Event = 2015
	QuarantineChanged  Event = 2016
	TargetLimitChanged Event = 2017
	TargetNoticed      Event = 2018
	PressureChanged    Event = 2024
	ShareChanged       Event = 2025
	HedgeDecided       Event = 2030
	DutyTaken          Event = 2203
	DutyLeft           Event = 2204
	SwitchPlanned      Event = 2205
	SwitchEnded        Event = 2206
	RankOrderEnded     Event = 2207
	GroupsChanged      Event = 2208
)

// names holds the stable name of each event.
var names = map[Event]string{
	Started:         "started",
	Stopping:        "stopping",
	Stopped:         "stopped",
	ChangeRead:      "changeRead",
	LogUnreadable:   "logUnreadable",
	AppendUncertain: "appendUncertain",
	AppendDropped:   "appendDropped",
	PeerLost:        "peerLost",
	TargetFailed:    "targetFailed",
	RequestFailed:   "requestFailed",
	TargetChosen:    "targetChosen",
	RequestRetried:  "requestRetried",
	KeyFollowed:     "keyFollowed",
	RequestRefused:  "requestRefused",
	AttemptAdmitted: "attemptAdmitted",
	AttemptRefused:  "attemptRefused",
	LimitChanged:    "limitChanged",
	KeyJoined:       "keyJoined",
	MapAdopted:      "mapAdopted",
	MapProposed:     "mapProposed",

	DependencyLost:     "dependencyLost",
	DependencyRegained: "dependencyRegained",
	SettingsReloaded:   "settingsReloaded",
	RecordUnreadable:   "recordUnreadable",
	ConfigurationTaken: "configurationTaken",
	TargetsChanged:     "targetsChanged",
	EntriesChanged:     "entriesChanged",
	TopicListed:        "topicListed",
	RecordIgnored:      "recordIgnored",
	StoreRestored:      "storeRestored",
	RequestEnded:       "requestEnded",
	ClientCut:          "clientCut",
	RequestDispatched:  "requestDispatched",
	RequestTurnedAway:  "requestTurnedAway",
	AttemptEnded:       "attemptEnded",
	StreamResumed:      "streamResumed",
	LimitsSummary:      "limitsSummary",
	QuarantineChanged:  "quarantineChanged",
	TargetLimitChanged: "targetLimitChanged",
	TargetNoticed:      "targetNoticed",
	PressureChanged:    "pressureChanged",
	ShareChanged:       "shareChanged",
	HedgeDecided:       "hedgeDecided",
	DutyTaken:          "dutyTaken",
	DutyLeft:           "dutyLeft",
	SwitchPlanned:      "switchPlanned",
	SwitchEnded:        "switchEnded",
	RankOrderEnded:     "rankOrderEnded",
	GroupsChanged:      "groupsChanged",
}

// All returns a new map of all events to their names.
func All() map[Event]string {
	all := make(map[Event]string, len(names))
	for e, name := range names {
		all[e] = name
	}
	return all
}

// Log writes one line for an event with its number and fields. Failures of dependencies,
// records, connections, targets and requests are warnings; all other events are
// informational.
func Log(logger log.Interface, e Event, fields log.Fields) {
	entry := logger.WithFields(fields).WithField("event", int(e))
	switch e {
	case DependencyLost, RecordUnreadable, LogUnreadable, AppendUncertain, AppendDropped, PeerLost, TargetFailed, RequestFailed, ClientCut:
		entry.Warn(names[e])
	default:
		entry.Info(names[e])
	}
}
