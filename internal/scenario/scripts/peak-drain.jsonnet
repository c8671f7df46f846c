{
  name: 'peak-drain',
  about: 'an announced peak; the box that stores the most of its titles drains twelve seconds before it',
  length: '310s',
  speed: 8,
  boxes: 24,
  rate: 2,
  load: 0.5,
  quiet: '150s',
  peaks: [{ titles: 2, first: 2, class: 'round-play', at: '220s', length: '40s', rate: 3, uncertain: '3s' }],
  faults: [{ kind: 'drain_held', at: '208s', 'for': '100s' }],
}
