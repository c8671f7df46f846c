{
  name: 'peak',
  about: 'an announced peak: for forty seconds, additional viewers request two titles',
  length: '310s',
  speed: 8,
  boxes: 24,
  rate: 2,
  load: 0.5,
  quiet: '150s',
  peaks: [{ titles: 2, first: 2, class: 'round-play', at: '220s', length: '40s', rate: 3, uncertain: '3s' }],
}
