/*
 * The duty of ordering an engine (lease.pml) on a log that may come back from an older copy of itself: its last records are
 * gone, acknowledged or not, and their offsets are given out again. The era counts the returns.
 *
 * The fence is put together from era and offset. A host that finds a new era forgets what it has seen and takes no duty for
 * WAIT, because the record of another's duty may be gone. An append whose condition was of an older era counts as not made,
 * though it may have taken effect. Both hosts have seen the log before it returns.
 *
 * Checked: fences rise, no two holders share one, and orders of two holders are a whole lease apart.
 *
 * NOERA leaves the era out of fences, NOWAIT takes a duty at once that a new era does not show, STALE counts an append in
 * an era other than that of its condition. Each must fail.
 */
#define HOSTS 2
#define NOBODY HOSTS
#define LEASE 2
#define MARGIN 1
#define WAIT (2 * LEASE + MARGIN)
#define END 7
/* The most records in one era, and the most returns. */
#define RECORDS 2
#define ERAS 1
#ifdef NOERA
#define FENCE(era, offset) (offset)
#else
#define FENCE(era, offset) ((era) * 4 + (offset))
#endif

byte now = 0;

/* The records of the duty, and the newest of them. */
byte holders[RECORDS + 1];
byte offset = 0;
byte era = 0;

/* What the engine has taken. */
byte fence = 0;
byte orderer = NOBODY;
byte ordered = 0;

/* Orders under way. */
bool sent[HOSTS];
byte sentat[HOSTS];
byte sentfence[HOSTS];

proctype Host(byte h) {
	byte seenholder = NOBODY;
	byte seenoffset = 0;
	byte seenat = 0;
	byte seenera = 0;
	bool returned = false;
	byte returnedat = 0;
	byte token = 0;
	byte start = 0;
	byte began = 0;
	byte condition = 0;
	byte got = 0;
	bool asking = false;
	bool done = false;

	do
	:: atomic {
		now < END && !asking && offset < RECORDS ->
		if
		:: seenera != era ->
			seenera = era;
			seenoffset = 0;
#ifndef NOWAIT
			returned = true;
			returnedat = now
#endif
		:: else
		fi;
		if
		:: seenoffset != offset ->
			seenoffset = offset;
			seenholder = holders[offset];
			seenat = now
		:: else
		fi;
		if
		:: (!returned || now - returnedat >= WAIT) && (seenoffset == 0 || seenholder == h || now - seenat >= WAIT) ->
			asking = true;
			done = false;
			condition = seenoffset;
			began = now
		:: else
		fi
	}
	/* The append takes effect, or fails. */
	:: atomic {
		asking && !done ->
		done = true;
		got = 0;
		if
		:: offset == condition && offset < RECORDS ->
			offset++;
			holders[offset] = h;
			if
#ifdef STALE
			:: true ->
#else
			:: era == seenera ->
#endif
				got = FENCE(era, offset)
			:: else
			fi
		:: else
		fi
	}
	/* Its answer comes. */
	:: atomic {
		asking && done ->
		asking = false;
		if
		:: got > 0 ->
			token = got;
			start = began
		:: else
		fi
	}
	:: atomic {
		token > 0 && !sent[h] && now - start < LEASE - MARGIN ->
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
			assert(orderer == NOBODY || orderer == h || sentfence[h] > fence);
			assert(orderer == NOBODY || orderer == h || now - ordered >= LEASE);
			fence = sentfence[h];
			orderer = h;
			ordered = now
		fi
	}
	:: now >= END -> break
	od
}

/* Time passes, but not while an order would be under way for longer than MARGIN. */
active proctype Clock() {
	do
	:: atomic {
		now < END && !(sent[0] && now - sentat[0] >= MARGIN) && !(sent[1] && now - sentat[1] >= MARGIN) ->
		now++
	}
	:: now >= END -> break
	od
}

/* The log comes back without its last records. */
active proctype Log() {
	do
	:: atomic {
		now < END && era < ERAS && offset > 0 ->
		era++;
		do
		:: offset > 0 -> offset--
		:: offset > 0 -> offset--; break
		:: offset == 0 -> break
		od
	}
	:: now >= END -> break
	od
}

init {
	run Host(0);
	run Host(1)
}
