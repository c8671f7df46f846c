{
  name: 'peak',
  about: 'an announced hour: 36 new sessions a second for four titles, on top of the usual ones',
  length: '30s',
  boxes: 24,
  rate: 8,
  load: 0.3,
  peaks: [{ titles: 4, first: 2, class: 'round-play', at: '16s', length: '8s', rate: 36, uncertain: '1s' }],
}
