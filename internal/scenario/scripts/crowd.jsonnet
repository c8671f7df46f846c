local fault(kind, at, dur, part=0, size=0) = { kind: kind, at: at, 'for': dur, part: part, size: size };
{
  name: 'crowd',
  about: 'a burst and a crowd for one title',
  length: '20s',
  faults: [
    fault('burst', '5s', '6s', part=0, size=2.5),
    fault('hot_title', '10s', '7s', part=0, size=0.4),
  ],
}
