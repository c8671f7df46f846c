// Announcements of peaks, for `rainpulley peak add --file` or the planner's --peaks folder. The external variable
// now_ms is the time at which the file is read, in Unix milliseconds; a booking system would write start_ms itself.
local minute = 60 * 1000;
local now = std.parseInt(std.extVar('now_ms'));
{
  peaks: [
    {
      id: 'friday-round-one',
      version: 1,
      titles: ['clip-00', 'clip-01'],
      class: 'round-play',
      start_ms: now + 10 * minute,
      uncertain_ms: 30 * 1000,
      rate: 12,  // new sessions per second, for both titles together
      length_ms: 3 * minute,
    },
  ],
}
