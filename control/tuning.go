package control

// Tuned constants of all decisions.

import "time"

// Utilization is the rate requested from a link or uplink, divided by its capacity.
const (
	stepDownTarget         = 0.90 // utilization after steps down: actual rates vary around the ladder's
	stepUpTarget           = 0.88 // utilization after steps up and for new sessions: spare for sudden bursts
	overloadThreshold      = 1.02 // utilization above which sessions step down: less than asked is delivered
	nearlyFullThreshold    = 0.90 // utilization from which a link is taken as the cause of a short share
	admissionLimit         = 1.0  // utilization up to which a session at its lowest rung is admitted
	tieWidth               = 0.10 // utilization: links this close count as equal, since reports are noisy
	reportedUplinkTieWidth = 0.30 // the same with reported uplinks, whose utilization is then as reliable
	zonePriceWeight        = 2.5  // utilization that another zone must save per unit of zone price
	meanRungTarget         = 0.98 // utilization to which new sessions fill a link up to about the mean rung
	meanRungShare          = 0.4  // part of the headroom that a new session may take up to that rung
	meanRungFraction       = 0.8  // part of the mean rung's rate up to which the two values above apply
	newSessionShare        = 0.15 // part of the headroom that a new session may take for higher rungs
	swapGainFactor         = 1.5  // a step up must gain this many times what its step down loses
	switchGainFactor       = 2.5  // a step up must gain this many times the cost of a rung change
	reportWeight           = 0.8  // weight of a new note against the previous estimate
	collectorWeight        = 0.9  // weight of a collector's reply: it combines the updates of all fronts
	coverageThreshold      = 0.5  // part of servers with own sessions above which own notes suffice
	cellsPerCollector      = 8    // consecutive cells whose servers one collector covers
	maxQueriesPerRequest   = 3    // collectors queried: titles with many holders need no more

	collectorReplyTimeout  = 100 * time.Millisecond // longest wait for replies: a small part of any aim
	maxUnansweredQueries   = 3                      // after this many in a row no request waits for replies
	reportersPerNote       = 1.5                    // mean number of fronts that forward a note
	collectorStreamsMaxAge = 10 * time.Second       // a collector uses a stream count until this age

	loadReportWeight      = 0.3              // weight of a load report in an answer: noisy and of unknown age
	reportHalfLife        = 12 * time.Second // age at which the fleet's mean has half of a report's weight
	uplinkLearningRate    = 0.3              // weight of a new estimate of an uplink's capacity
	uplinkGrowthThreshold = 0.80             // utilization without short shares that suggests a larger uplink
	uplinkGrowthPerTick   = 1.005            // factor by which the capacity of such an uplink grows back
	linkLearningRate      = 0.2              // weight of a new estimate of a link's capacity

	tickInterval       = 250 * time.Millisecond // shorter than the notes' period, long enough to save CPU
	stepInterval       = 2 * time.Second        // no step up this soon after a short share; allowance period
	peerStepUpShare    = 0.4                    // part of a front's headroom share that it uses per report
	noPeerStepUpShare  = 0.2                    // the same where fronts cannot send each other their steps
	assumedUtilization = 0.6                    // utilization of a fleet without reports and own sessions

	fullServerWait         = time.Second      // no set-ups for this long after a server had no free stream
	settleTime             = 2 * time.Second  // wait after an uplink's correction, beyond the notes' delay
	attemptTimeoutFraction = 0.45             // part of the aim after which a set-up is tried elsewhere
	streamReportMaxAge     = time.Second      // an older report of streams does not prevent a set-up
	minAvoidTime           = time.Second      // no set-ups for this long after a failure; doubles each time
	restartFailureCount    = 3                // consecutive failed set-ups that count as a restart
	maxAvoidTime           = 8 * time.Second  // limit of the doubling: a recovered server must be found soon
	maxMissedNotes         = 4.0              // note periods missed by one server alone until it is suspect
	stalledShare           = 0.2              // lower shares count as this: a stall, not a full link
	slowStartMargin        = 0.6              // part of a cold server's sustainable rate that fronts use
	assumedLength          = 10 * time.Second // remaining time of a session whose length was not reported
	historyRetention       = 12 * time.Second // own rates are kept this long, to match late notes with them
	goneServerRetention    = time.Minute      // an unlisted server is remembered this long for its return
	retryAfterAdvice       = time.Second      // delay advised to a viewer whose request is refused
	maxReportedUtilization = 3.0              // higher reports of utilization are clipped to this
)
