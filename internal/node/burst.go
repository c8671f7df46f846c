package node

import (
	"sync"
	"time"
)

const (
	// maxBurst is how many messages of one connection are handled without a wait for input before its reader has to wait
	// for its turn.
	maxBurst = 32
	// idleRead is how long a read takes that had to wait for input.
	idleRead = 200 * time.Microsecond
	// turnPause is how long the reader whose turn it is pauses. Meanwhile the runtime polls the network for all others: on
	// one processor it does so only when no goroutine can run, or every 10 ms.
	turnPause = 500 * time.Microsecond
)

// burstLimiter has the readers of connections that send without a pause take turns, so that they delay other
// connections by one pause and one burst, however many they are.
type burstLimiter struct {
	turn sync.Mutex // held by the reader whose turn it is
}

// burst counts the messages of one connection since its reader last waited for input.
type burst struct{ messages int }

// record records that a message was read, and how long its reader waited for it. It returns once the reader may read the
// next one.
func (b *burst) record(waited time.Duration, limiter *burstLimiter) {
	if waited >= idleRead {
		b.messages = 0
	}
	if b.messages++; b.messages < maxBurst {
		return
	}
	b.messages = 0
	limiter.turn.Lock()
	defer limiter.turn.Unlock()
	time.Sleep(turnPause)
}
