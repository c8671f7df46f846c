local fault(kind, at, dur, part=0, size=0) = { kind: kind, at: at, 'for': dur, part: part, size: size };
{
  name: 'weak-links',
  about: 'links and uplinks have less capacity while notes are late',
  length: '120s',
  speed: 6,
  faults: [
    fault('slow', '24s', '48s', part=0.25, size=2.5),
    fault('weak_uplink', '48s', '48s', part=0.34, size=1.8),
    fault('late_notes', '36s', '60s', part=1, size=12),
    fault('frozen_notes', '84s', '30s', part=0.5),
  ],
}
