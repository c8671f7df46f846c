local fault(kind, at, dur, part=0, size=0) = { kind: kind, at: at, 'for': dur, part: part, size: size };
{
  name: 'silent-boxes',
  about: 'boxes hang, vanish or lie about their health, answers are lost or reset',
  length: '20s',
  faults: [
    fault('hang', '4s', '8s', part=0.2, size=0),
    fault('answer_lost', '10s', '8s', part=0.3, size=0.6),
    fault('vanish', '6s', '5s', part=0.1),
    fault('false_health', '12s', '5s', part=0.1),
    fault('reset', '3s', '12s', part=0.3, size=0.3),
  ],
}
