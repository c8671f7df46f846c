package peaks

// KeepProfitableHolds returns the plan with only those holds that are worth their cost. Held capacity is idle until the
// viewers arrive and keeps other sessions from stepping up in the meantime, so a hold is only worthwhile for capacity
// that cannot be freed immediately when they arrive. Link capacity can: the module steps other sessions down at the
// moment new ones arrive. Streams cannot, as they are free only when a session ends. Therefore only streams are held,
// no rate, and only where the peak is expected to need all streams that a box has left, for sessions that earn more
// than those they displace.
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

// scarceStreamsShare is the share of a box's free streams from which a plan counts as using all of them.
const scarceStreamsShare = 0.98
