package peaks

// Paying is what of a plan's holds is worth holding. What is held lies idle until its viewers come, and
// keeps others from stepping up meanwhile; so a hold pays only for what cannot be had at once when they
// do come. Room on a link can: the module steps others down as newcomers arrive, in the same instant.
// Streams cannot: a session ends when it ends. So streams are held, no rate, and only where the hour is thought to
// need all that a box has left, for sessions that earn more than those they keep out.
func KeepProfitableHolds(fleet *Fleet, demands []Demand, plan *Plan) *Plan {
	worth := map[string]float64{}
	for _, d := range demands {
		worth[PeakTitleKey(d.Peak, d.Title)] = d.Worth
	}
	meanWorth := 0.0
	for _, c := range fleet.Classes {
		meanWorth += c.Worth / float64(len(fleet.Classes))
	}
	freeStreams, heldStreams := map[string]float64{}, map[string]float64{}
	for i := range fleet.Boxes {
		_, freeStreams[fleet.Boxes[i].ID] = fleet.Boxes[i].freeCapacity()
	}
	for _, h := range plan.Holds {
		heldStreams[h.Box] += h.Streams
	}
	out := *plan
	out.Holds = nil
	for _, h := range plan.Holds {
		scarce := heldStreams[h.Box] >= scarceStreamsShare*freeStreams[h.Box]
		if scarce && worth[PeakTitleKey(h.Peak, h.Title)] > meanWorth {
			h.Rate = 0
			out.Holds = append(out.Holds, h)
		}
	}
	return &out
}

const scarceStreamsShare = 0.98 // of the streams that a box has left: an hour that is thought to take so many takes all
