{ name: 'quiet', about: 'no faults', length: '120s', load: 0.6, speed: 6 }
