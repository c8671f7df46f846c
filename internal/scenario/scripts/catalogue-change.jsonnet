local fault(kind, at, dur, part=0, size=0) = { kind: kind, at: at, 'for': dur, part: part, size: size };
{
  name: 'catalogue-change',
  about: 'titles are removed, restored and moved to other boxes, and truncated updates arrive, under load',
  length: '240s',
  speed: 6,
  load: 0.7,
  faults: [
    fault('half_update', '20s', '0s', part=0.3),
    fault('remove_titles', '40s', '18s', part=0.25),
    fault('move_titles', '70s', '0s', part=0.15, size=5),
    fault('full_disk', '90s', '30s', part=0.2),
    fault('remove_titles', '120s', '18s', part=0.25),
    fault('half_update', '130s', '0s', part=0.3),
    fault('crash', '140s', '20s', part=0.1),
    fault('kill_planner', '170s', '12s'),
  ],
}
