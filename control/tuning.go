package control

// Tuned values of all decisions.

import "time"

// Tuned values. Fullness is the rate asked of a link or uplink over what it gives.
const (
	stepDownTarget         = 0.90                   // steps down aim here: true rates swing around the ladder's
	stepUpTarget           = 0.88                   // steps up and newcomers fill to this: crowds come unannounced
	overloadThreshold      = 1.02                   // calls for steps down: past it the share delivered is short
	nearlyFullThreshold    = 0.90                   // a link this full lately is blamed for a short share
	admissionLimit         = 1.0                    // fullness up to which a lowest rung is still let in
	tieWidth               = 0.10                   // fullness: links this close count as equal: reports are that noisy
	reportedUplinkTieWidth = 0.30                   // the same where uplinks are reported: their figure is as good then
	zonePriceWeight        = 2.5                    // fullness that crossing zones must gain, by its price
	meanRungTarget         = 0.98                   // newcomers fill a link to this, up to the rung that others have
	meanRungShare          = 0.4                    // and may take this part of the room
	meanRungFraction       = 0.8                    // of the mean
	newSessionShare        = 0.15                   // part of the room left that one newcomer may take
	swapGainFactor         = 1.5                    // a step up must earn so many times what its step down loses
	switchGainFactor       = 2.5                    // a step up must earn so many times the price of a switch
	reportWeight           = 0.8                    // weight of a new note against what was believed
	collectorWeight        = 0.9                    // weight of a keeper's answer: it heard of all fronts
	fleetViewThreshold     = 0.5                    // own sessions at more of the servers than this: own notes do
	cellsPerCollector      = 8                      // cells in a row whose servers one front keeps
	maxQueriesPerRequest   = 3                      // asked for one request: titles held by many need no more
	collectorReplyTimeout  = 100 * time.Millisecond // longest wait for keepers: a small part of any aim
	maxUnansweredQueries   = 3                      // unanswered questions in a row, then no request waits
	reportersPerNote       = 1.5                    // fronts that pass a note on to the keeper
	collectorStreamsMaxAge = 10 * time.Second       // a keeper counts streams on from a report so long
	loadReportWeight       = 0.3                    // the same for a report in an answer: noisy, its age unknown
	reportHalfLife         = 12 * time.Second       // a report this old has half its say, the fleet's mean the rest
	uplinkLearningRate     = 0.3                    // weight of new evidence on what an uplink gives
	uplinkGrowthThreshold  = 0.80                   // fullness from which an uplink without complaint is thought larger
	uplinkGrowthPerTick    = 1.005                  // per beat, regrowth of an uplink that no note contradicts
	linkLearningRate       = 0.2                    // weight of new evidence on what a link gives
	tickInterval           = 250 * time.Millisecond // pace of corrections: finer than the notes, coarse against CPU
	stepInterval           = 2 * time.Second        // no step up so long after a short share, nor between allowances
	peerStepUpShare        = 0.4                    // part of its share of the room a front takes at one report
	noPeerStepUpShare      = 0.2                    // the same where fronts cannot tell each other what they took
	assumedUtilization     = 0.6                    // fullness assumed of a fleet of which nothing is known yet
	fullServerWait         = time.Second            // rest for a server that has no stream free
	settleTime             = 2 * time.Second        // beyond the notes' delay, wait after a correction of an uplink
	attemptTimeoutFraction = 0.45                   // of the aim: unanswered this long, a set-up is tried elsewhere
	streamReportMaxAge     = time.Second            // a report of the streams holds so long; then a set-up may ask anew
	minAvoidTime           = time.Second            // rest for a failing server, doubled at each failure
	restartFailureCount    = 3                      // set-ups unanswered in a row: as if restarted
	maxAvoidTime           = 8 * time.Second        // and at most this, so that a mended one is soon found
	maxMissedNotes         = 4.0                    // note periods missed by one server alone: suspect
	stalledShare           = 0.2                    // a delivered share under this is a standstill, not a full link
	slowStartMargin        = 0.6                    // part of what a cold server stands that the fronts use
	assumedLength          = 10 * time.Second       // time left of a session whose length nobody told
	historyRetention       = 12 * time.Second       // own rates are remembered for late notes
	goneServerRetention    = time.Minute            // a server that is gone and comes back is known for so long
	retryAfterAdvice       = time.Second            // wait advised to a viewer who was turned away
	maxReportedUtilization = 3.0                    // fullness reports are clipped here
)
