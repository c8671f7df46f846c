local fault(kind, at, dur, part=0, size=0) = { kind: kind, at: at, 'for': dur, part: part, size: size };
{
  name: 'weak-links',
  about: 'links and uplinks give less while notes are late',
  length: '20s',
  faults: [
    fault('slow', '4s', '8s', part=0.25, size=2.5),
    fault('weak_uplink', '8s', '8s', part=0.34, size=1.8),
    fault('late_notes', '6s', '10s', part=1, size=2),
    fault('frozen_notes', '14s', '5s', part=0.5),
  ],
}
