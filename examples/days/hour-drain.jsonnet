// An announced hour at the users' scale: 100 boxes, sessions of 50 s, 36 new sessions a second for six titles
// on top of 8 a second. Takes some ten minutes: rainpulley replay examples/days/hour-drain.jsonnet --ways module,without
{
  name: 'hour-drain',
  about: 'an announced hour at the scale of the users',
  length: '510s',
  speed: 1,
  boxes: 100,
  edges: 3,
  rate: 8,
  load: 0.5,
  quiet: '330s',
  life: '50s',
  spread: '11s',
  titles: 60,
  peaks: [{ titles: 6, first: 2, class: 'round-play', at: '400s', length: '40s', rate: 36, uncertain: '3s' }],
  faults: [{ kind: 'drain_held', at: '388s', 'for': '100s' }],
}
