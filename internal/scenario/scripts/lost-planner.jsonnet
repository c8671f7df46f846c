local fault(kind, at, dur, part=0, size=0) = { kind: kind, at: at, 'for': dur, part: part, size: size };
{
  name: 'lost-planner',
  about: 'the planner is down while boxes drain and crash, and server lists are late',
  length: '120s',
  speed: 6,
  faults: [
    fault('kill_planner', '18s', '48s', part=0, size=0),
    fault('crash', '30s', '30s', part=0.15, size=0),
    fault('drain', '36s', '54s', part=0.15, size=0),
    fault('late_list', '72s', '30s', part=0, size=12),
    fault('cut_planner', '84s', '18s'),
  ],
}
