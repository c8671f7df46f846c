local fault(kind, at, dur, part=0, size=0) = { kind: kind, at: at, 'for': dur, part: part, size: size };
{
  name: 'bad-day',
  about: 'edges and planner killed, boxes crash, hang and drain, answers lost and reset, links weak, lists late, a burst',
  length: '32s',
  load: 0.8,
  faults: [
    fault('drain', '3s', '8s', part=0.1),
    fault('answer_lost', '4s', '5s', part=0.2, size=0.5),
    fault('crash', '6s', '4s', part=0.1),
    fault('kill_edge', '9s', '3s', part=0.34),
    fault('late_list', '10s', '8s', size=1.5),
    fault('hang', '12s', '5s', part=0.1),
    fault('kill_planner', '14s', '5s'),
    fault('crash', '15s', '3s', part=0.1),
    fault('slow', '17s', '6s', part=0.2, size=2),
    fault('late_notes', '18s', '6s', part=1, size=1.5),
    fault('burst', '20s', '4s', size=2),
    fault('weak_uplink', '22s', '5s', part=0.34, size=1.6),
    fault('hot_title', '24s', '4s', size=0.3),
    fault('refuse', '26s', '3s', part=0.1),
    fault('reset', '27s', '4s', part=0.25, size=0.7),
  ],
}
