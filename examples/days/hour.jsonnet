// An announced peak at production scale: 100 boxes, sessions of 50 s, and 36 new sessions per second for six titles in
// addition to 8 per second. Takes about ten minutes: rainpulley replay examples/days/hour.jsonnet --ways module,without
{
  name: 'hour',
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

}
