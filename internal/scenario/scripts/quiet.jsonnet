{ name: 'quiet', about: 'no trouble', length: '20s', load: 0.6 }
