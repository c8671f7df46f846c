local fault(kind, at, dur, part=0, size=0) = { kind: kind, at: at, 'for': dur, part: part, size: size };
{
  name: 'peak-cancel',
  about: 'two peaks need the same boxes; the first is cancelled during copying, boxes crash, and the planner is killed before the second',
  length: '310s',
  speed: 8,
  boxes: 24,
  rate: 2,
  load: 0.5,
  quiet: '150s',
  peaks: [
    { titles: 2, first: 2, class: 'round-play', at: '200s', length: '10s', rate: 0, told: 3, uncertain: '3s' },
    { titles: 2, first: 3, class: 'round-play', at: '220s', length: '40s', rate: 3, uncertain: '3s' },
  ],
  faults: [
    fault('crash', '40s', '24s', part=0.15),
    fault('cancel_peak', '90s', '0s'),
    fault('full_disk', '100s', '40s', part=0.1),
    fault('kill_planner', '190s', '16s'),
  ],
}
