local fault(kind, at, dur, part=0, size=0) = { kind: kind, at: at, 'for': dur, part: part, size: size };
{
  name: 'restart-wave',
  about: 'edges restarted in waves, back with their last list',
  length: '20s',
  faults: [
    fault('kill_edge', '4s', '1s', part=0.34, size=0),
    fault('kill_edge', '9s', '1s', part=0.34, size=0),
    fault('kill_edge', '14s', '1s', part=0.34, size=0),
  ],
}
