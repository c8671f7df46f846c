local fault(kind, at, dur, part=0, size=0) = { kind: kind, at: at, 'for': dur, part: part, size: size };
{
  name: 'cold-wave',
  about: 'groups of boxes crash one after another and restart cold under full load',
  length: '120s',
  speed: 6,
  faults: [
    fault('crash', '18s', '12s', part=0.25, size=0),
    fault('crash', '48s', '12s', part=0.25, size=0),
    fault('crash', '78s', '12s', part=0.25, size=0),
  ],
}
