local fault(kind, at, dur, part=0, size=0) = { kind: kind, at: at, 'for': dur, part: part, size: size };
{
  name: 'lost-planner',
  about: 'the planner is away while boxes drain and crash, and lists are late',
  length: '20s',
  faults: [
    fault('kill_planner', '3s', '8s', part=0, size=0),
    fault('crash', '5s', '5s', part=0.15, size=0),
    fault('drain', '6s', '9s', part=0.15, size=0),
    fault('late_list', '12s', '5s', part=0, size=2),
    fault('cut_planner', '14s', '3s'),
  ],
}
