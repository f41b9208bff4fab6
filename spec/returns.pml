/*
 * The lease for orders (lease.pml) on a log that may be restored from an older copy: its last records are lost, acknowledged
 * or not, and their offsets are assigned again. The era counts the restores.
 *
 * The fence is composed of era and offset. A host that observes a new era discards its observations and appends nothing for
 * TAKEOVER_DELAY, because the record of another holder may be lost. An append whose condition was read in an older era
 * counts as failed, although it may have taken effect. Both hosts have read the log before the restore.
 *
 * Checked: fences increase, no two holders share one, and orders of two holders are at least a whole lease apart.
 *
 * Mutants, each of which must fail: NOERA omits the era from fences, NOWAIT appends at once after a new era, STALE accepts an
 * append in an era other than that of its condition.
 */
#define HOSTS 2
#define NONE HOSTS
#define LEASE 2
#define MARGIN 1
#define TAKEOVER_DELAY (2 * LEASE + MARGIN)
#define END 7
/* The limits on records per era and on restores, which bound the model. */
#define RECORDS 2
#define ERAS 1
#ifdef NOERA
#define FENCE(era, offset) (offset)
#else
#define FENCE(era, offset) ((era) * 4 + (offset))
#endif

byte now = 0;

/* The holder of each record of the lease, and the offset of the newest. */
byte holders[RECORDS + 1];
byte offset = 0;
byte era = 0;

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
	byte observedera = 0;
	bool restored = false;
	byte restoredat = 0;
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
		:: observedera != era ->
			observedera = era;
			observedoffset = 0;
#ifndef NOWAIT
			restored = true;
			restoredat = now
#endif
		:: else
		fi;
		if
		:: observedoffset != offset ->
			observedoffset = offset;
			observedholder = holders[offset];
			observedat = now
		:: else
		fi;
		if
		:: (!restored || now - restoredat >= TAKEOVER_DELAY) && (observedoffset == 0 || observedholder == h || now - observedat >= TAKEOVER_DELAY) ->
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
		:: offset == expected && offset < RECORDS ->
			offset++;
			holders[offset] = h;
			if
#ifdef STALE
			:: true ->
#else
			:: era == observedera ->
#endif
				assigned = FENCE(era, offset)
			:: else
			fi
		:: else
		fi
	}
	/* Its answer comes. */
	:: atomic {
		appending && applied ->
		appending = false;
		if
		:: assigned > 0 ->
			token = assigned;
			tokenstart = appendstart
		:: else
		fi
	}
	:: atomic {
		token > 0 && !sent[h] && now - tokenstart < LEASE - MARGIN ->
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

/* The log is restored without its last records. */
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
