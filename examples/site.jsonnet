// A site of three halls (zones), twelve boxes, three edges and one planner on one machine. README describes how to
// start it.
local zones = ['east-hall', 'west-hall', 'north-hall'];
local box(i) = {
  addr: '127.0.0.1:%d' % (9100 + i),
  zone: zones[i % std.length(zones)],
  kind: if i % 3 == 2 then 'three-core' else 'two-core',
  cell: i,
  weight: if i % 3 == 2 then 3 else 2,
};
{
  zones: zones,
  kinds: [{ name: 'two-core', streams: 30 }, { name: 'three-core', streams: 44 }],
  cells: 12,  // a title is stored in `span` consecutive cells from `home`
  racks: 3,  // the rack of a cell is the cell's number modulo `racks`
  ladder: [
    { rate: '260kB/s', worth: 0.17 },
    { rate: '460kB/s', worth: 0.41 },
    { rate: '810kB/s', worth: 0.61 },
    { rate: '1440kB/s', worth: 0.81 },
    { rate: '2540kB/s', worth: 1 },
  ],
  links: { per_weight: '4.8MB/s', uplink: '48MB/s' },
  classes: [
    { name: 'round-play', effect: 'repeatable', aim: '1s', deadline: '4s', worth: 2, rate_factor: 1.2, seats: 12 },
    { name: 'replay', effect: 'repeatable', aim: '1.5s', deadline: '4s', worth: 1, rate_factor: 0.7, top: 3 },
    { name: 'live-round', effect: 'paid', aim: '1s', deadline: '5s', worth: 2, rate_factor: 1, floor: 1 },
  ],
  rules: {
    drain_grace: '1s',
    answer_slack: '40ms',
    ramp: '12s',
    start_share: 0.4,
    fall_factor: 2.5,
    fall_span: '1.5s',
    budget_span: '10s',
    budget_free: 10,
    budget_share: 0.3,
  },
  attempts: { most: 5, connect_timeout: '250ms', cancel: true },
  notes: { delay: '700ms', link_every: '3.5s', switch_cost: '650ms', reports: 'answers' },
  prices: { move: 0.05, zone: 0.04, probe: 0.01 },
  retry_after: '500ms',
  peers: true,
  titles: [{ name: 'clip-%02d' % i, home: i * 5 % 12, span: 3, length: '60s' } for i in std.range(0, 23)],
  boxes: [box(i) for i in std.range(0, 11)],
  edges: [
    { zone: zones[i], listen: '127.0.0.1:%d' % (9000 + i), peer: '127.0.0.1:%d' % (9050 + i) }
    for i in std.range(0, 2)
  ],
  planner: { listen: '127.0.0.1:9090', check_every: '250ms', check_for: '500ms', gone_after: 3 },
  copies: { managed: true, least: 3, share: 0.5, grace: '10s', ahead: '30m' },  // the planner places the copies of titles
  playback: { ahead: '3s', behind: '6s', silence: '10s' },
  limits: { connections: 20000, sessions: 20000, queue: 1024 },
}
