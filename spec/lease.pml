/*
 * Lease for sending orders to an engine: two hosts, one log, one engine.
 *
 * A host reads the newest record. It may append its own, on the condition that nothing was appended in between, if there is
 * no record, if it holds the lease itself, or if it has observed a record of another host unchanged for TAKEOVER_DELAY. The
 * offset of the record is the fencing token of its orders, valid for LEASE - MARGIN from the start of the append. An append
 * and its answer may each be delayed without limit; an order arrives within MARGIN. A host may pause at any point.
 *
 * Checked: fences increase, no two holders share one, and orders of two holders are at least a whole lease apart.
 *
 * Mutants, each of which must fail: SHORT takes over after one lease only, FROZEN does not check the clock before an order,
 * BLIND appends without the condition, LATE starts the validity at the answer to the append.
 */
#define HOSTS 2
#define NONE HOSTS
#define LEASE 2
#define MARGIN 1
#ifdef SHORT
#define TAKEOVER_DELAY LEASE
#else
#define TAKEOVER_DELAY (2 * LEASE + MARGIN)
#endif
#define END 8
/* The limit on appended records, which bounds the model. */
#define RECORDS 3

byte now = 0;

/* The newest record of the lease in the log. */
byte holder = NONE;
byte offset = 0;

/* The engine's highest accepted fence, and the sender and time of its last accepted order. */
byte fence = 0;
byte lastsender = NONE;
byte lastorderat = 0;

/* Orders in transit, at most one per host. */
bool sent[HOSTS];
byte sentat[HOSTS];
byte sentfence[HOSTS];

proctype Host(byte h) {
	byte observedholder = NONE;
	byte observedoffset = 0;
	byte observedat = 0;
	byte token = 0;
	byte tokenstart = 0;
	byte appendstart = 0;
	byte expected = 0;
	byte assigned = 0;
	bool appending = false;
	bool applied = false;

	do
	:: atomic {
		now < END && !appending && offset < RECORDS ->
		if
		:: observedoffset != offset ->
			observedoffset = offset;
			observedholder = holder;
			observedat = now
		:: else
		fi;
		if
		:: observedoffset == 0 || observedholder == h || now - observedat >= TAKEOVER_DELAY ->
			appending = true;
			applied = false;
			expected = observedoffset;
			appendstart = now
		:: else
		fi
	}
	/* The append takes effect, or fails. */
	:: atomic {
		appending && !applied ->
		applied = true;
		assigned = 0;
		if
#ifdef BLIND
		:: true ->
			offset = expected + 1;
			holder = h;
			assigned = offset
#else
		:: offset == expected ->
			offset++;
			holder = h;
			assigned = offset
		:: else
#endif
		fi
	}
	/* Its answer comes. */
	:: atomic {
		appending && applied ->
		appending = false;
		if
		:: assigned > 0 ->
			token = assigned;
#ifdef LATE
			tokenstart = now
#else
			tokenstart = appendstart
#endif
		:: else
		fi
	}
	:: atomic {
#ifdef FROZEN
		token > 0 && !sent[h] ->
#else
		token > 0 && !sent[h] && now - tokenstart < LEASE - MARGIN ->
#endif
		sent[h] = true;
		sentat[h] = now;
		sentfence[h] = token
	}
	:: atomic {
		sent[h] ->
		sent[h] = false;
		if
		:: sentfence[h] < fence
		:: else ->
			assert(lastsender == NONE || lastsender == h || sentfence[h] > fence);
			assert(lastsender == NONE || lastsender == h || now - lastorderat >= LEASE);
			fence = sentfence[h];
			lastsender = h;
			lastorderat = now
		fi
	}
	:: now >= END -> break
	od
}

/* Time advances, unless an order would then be in transit for longer than MARGIN. */
active proctype Clock() {
	do
	:: atomic {
		now < END && !(sent[0] && now - sentat[0] >= MARGIN) && !(sent[1] && now - sentat[1] >= MARGIN) ->
		now++
	}
	:: now >= END -> break
	od
}

init {
	run Host(0);
	run Host(1)
}
