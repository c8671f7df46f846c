{
  name: 'cut-zone',
  about: 'one zone cannot reach the others for a while',
  length: '120s',
  speed: 6,
  faults: [{ kind: 'cut_zone', at: '30s', 'for': '48s' }],
}
