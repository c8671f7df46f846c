package control

// Tuned values of all decisions.

import "time"

// Tuned values. Fullness is the rate asked of a link or uplink over what it gives.
const (
	fillTarget   = 0.90                   // steps down aim here: true rates swing around the ladder's
	riseTarget   = 0.88                   // steps up and newcomers fill to this: crowds come unannounced
	overFull     = 1.02                   // calls for steps down: past it the share delivered is short
	nearFull     = 0.90                   // a link this full lately is blamed for a short share
	admitLimit   = 1.0                    // fullness up to which a lowest rung is still let in
	tieWidth     = 0.10                   // fullness: links this close count as equal: reports are that noisy
	toldTie      = 0.30                   // the same where uplinks are reported: their figure is as good then
	zoneWeight   = 2.5                    // fullness that crossing zones must gain, by its price
	fairTarget   = 0.98                   // newcomers fill a link to this, up to the rung that others have
	fairShare    = 0.4                    // and may take this part of the room
	fairPart     = 0.8                    // of the mean
	startShare   = 0.15                   // part of the room left that one newcomer may take
	swapGain     = 1.5                    // a step up must earn so many times what its step down loses
	switchGain   = 2.5                    // a step up must earn so many times the price of a switch
	reportWeight = 0.8                    // weight of a new note against what was believed
	keeperWeight = 0.9                    // weight of a keeper's answer: it heard of all fronts
	ownView      = 0.5                    // own sessions at more of the servers than this: own notes do
	keepCells    = 8                      // cells in a row whose servers one front keeps
	mostKeepers  = 3                      // asked for one request: titles held by many need no more
	answerWait   = 100 * time.Millisecond // longest wait for keepers: a small part of any aim
	giveUpAsking = 3                      // unanswered questions in a row, then no request waits
	tellers      = 1.5                    // fronts that pass a note on to the keeper
	streamsKept  = 10 * time.Second       // a keeper counts streams on from a report so long
	answerWeight = 0.3                    // the same for a report in an answer: noisy, its age unknown
	oldReport    = 12 * time.Second       // a report this old has half its say, the fleet's mean the rest
	uplinkWeight = 0.3                    // weight of new evidence on what an uplink gives
	growFrom     = 0.80                   // fullness from which an uplink without complaint is thought larger
	uplinkGrowth = 1.005                  // per beat, regrowth of an uplink that no note contradicts
	linkWeight   = 0.2                    // weight of new evidence on what a link gives
	beat         = 250 * time.Millisecond // pace of corrections: finer than the notes, coarse against CPU
	stepEvery    = 2 * time.Second        // no step up so long after a short share, nor between allowances
	upPart       = 0.4                    // part of its share of the room a front takes at one report
	upAlone      = 0.2                    // the same where fronts cannot tell each other what they took
	unheard      = 0.6                    // fullness assumed of a fleet of which nothing is known yet
	fullWait     = time.Second            // rest for a server that has no stream free
	settle       = 2 * time.Second        // beyond the notes' delay, wait after a correction of an uplink
	patiencePart = 0.45                   // of the aim: unanswered this long, a set-up is tried elsewhere
	streamsFor   = time.Second            // a report of the streams holds so long; then a set-up may ask anew
	avoidFirst   = time.Second            // rest for a failing server, doubled at each failure
	brokenAfter  = 3                      // set-ups unanswered in a row: as if restarted
	avoidMost    = 8 * time.Second        // and at most this, so that a mended one is soon found
	silentNotes  = 4.0                    // note periods missed by one server alone: suspect
	deadShare    = 0.2                    // a delivered share under this is a standstill, not a full link
	coldMargin   = 0.6                    // part of what a cold server stands that the fronts use
	guessLength  = 10 * time.Second       // time left of a session whose length nobody told
	keepHistory  = 12 * time.Second       // own rates are remembered for late notes
	keepGone     = time.Minute            // a server that is gone and comes back is known for so long
	returnAdvice = time.Second            // wait advised to a viewer who was turned away
	noMoreThan   = 3.0                    // fullness reports are clipped here
)
