{
  name: 'peak-drain',
  about: 'the announced hour with a held box that drains two seconds before it',
  length: '30s',
  boxes: 24,
  rate: 8,
  load: 0.3,
  peaks: [{ titles: 4, first: 2, class: 'round-play', at: '16s', length: '8s', rate: 36, uncertain: '1s' }],
  faults: [{ kind: 'drain_held', at: '14s', 'for': '14s' }],
}
