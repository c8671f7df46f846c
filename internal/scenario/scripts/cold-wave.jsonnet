local fault(kind, at, dur, part=0, size=0) = { kind: kind, at: at, 'for': dur, part: part, size: size };
{
  name: 'cold-wave',
  about: 'boxes crash one after another and come back cold under full load',
  length: '20s',
  faults: [
    fault('crash', '3s', '2s', part=0.25, size=0),
    fault('crash', '8s', '2s', part=0.25, size=0),
    fault('crash', '13s', '2s', part=0.25, size=0),
  ],
}
