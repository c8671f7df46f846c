local fault(kind, at, dur, part=0, size=0) = { kind: kind, at: at, 'for': dur, part: part, size: size };
{
  name: 'crowd',
  about: 'a burst of viewers, and many requests for one title',
  length: '120s',
  speed: 6,
  faults: [
    fault('burst', '30s', '36s', part=0, size=2.5),
    fault('hot_title', '60s', '42s', part=0, size=0.4),
  ],
}
