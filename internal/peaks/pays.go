package peaks

// Paying is what of a plan's holds is worth holding. What is held lies idle until its viewers come, and
// keeps others from stepping up meanwhile; so a hold pays only for what cannot be had at once when they
// do come. Room on a link can: the module steps others down as newcomers arrive, in the same instant.
// Streams cannot: a session ends when it ends. So streams are held, no rate, and only where the hour is thought to
// need all that a box has left, for sessions that earn more than those they keep out.
func KeepProfitableHolds(f *Fleet, demands []Demand, p *Plan) *Plan {
	worth := map[string]float64{}
	for _, d := range demands {
		worth[PeakTitleKey(d.Peak, d.Title)] = d.Worth
	}
	usual := 0.0
	for _, c := range f.Classes {
		usual += c.Worth / float64(len(f.Classes))
	}
	left, held := map[string]float64{}, map[string]float64{}
	for i := range f.Boxes {
		_, left[f.Boxes[i].ID] = f.Boxes[i].freeCapacity()
	}
	for _, h := range p.Holds {
		held[h.Box] += h.Streams
	}
	out := *p
	out.Holds = nil
	for _, h := range p.Holds {
		scarce := held[h.Box] >= scarceStreamsShare*left[h.Box]
		if scarce && worth[PeakTitleKey(h.Peak, h.Title)] > usual {
			h.Rate = 0
			out.Holds = append(out.Holds, h)
		}
	}
	return &out
}

const scarceStreamsShare = 0.98 // of the streams that a box has left: an hour that is thought to take so many takes all
