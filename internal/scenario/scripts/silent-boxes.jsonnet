local fault(kind, at, dur, part=0, size=0) = { kind: kind, at: at, 'for': dur, part: part, size: size };
{
  name: 'silent-boxes',
  about: 'boxes hang, vanish or pass health checks only; answers are lost or reset',
  length: '120s',
  speed: 6,
  faults: [
    fault('hang', '24s', '48s', part=0.2, size=0),
    fault('answer_lost', '60s', '48s', part=0.3, size=0.6),
    fault('vanish', '36s', '30s', part=0.1),
    fault('false_health', '72s', '30s', part=0.1),
    fault('reset', '18s', '72s', part=0.3, size=0.3),
  ],
}
