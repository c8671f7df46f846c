local fault(kind, at, dur, part=0, size=0) = { kind: kind, at: at, 'for': dur, part: part, size: size };
{
  name: 'restart-wave',
  about: 'edges are killed in waves and restart with their last stored server list',
  length: '120s',
  speed: 6,
  faults: [
    fault('kill_edge', '24s', '6s', part=0.34, size=0),
    fault('kill_edge', '54s', '6s', part=0.34, size=0),
    fault('kill_edge', '84s', '6s', part=0.34, size=0),
  ],
}
