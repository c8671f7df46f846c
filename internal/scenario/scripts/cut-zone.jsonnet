{
  name: 'cut-zone',
  about: 'one zone is cut off from the others for a while',
  length: '20s',
  faults: [{ kind: 'cut_zone', at: '5s', 'for': '8s' }],
}
