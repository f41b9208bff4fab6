/*
 * Claim before run: one idempotency key, a node with one claim and a node with two.
 *
 * A node appends a claim, reads the stream back to it, and runs the call only if the claim won at its own offset.
 * An append may land late or never while its node has given up; a node may pause anywhere, or crash. Node 0 reads
 * from the oldest record kept, so it needs a checkpoint once records have expired.
 *
 * EARLY runs the call before the claim is read back, REVIVE lets a lost claim win later, once the winner is released,
 * EMPTY takes an expired prefix for an empty one, UNSAFE releases a claim whose call was sent. Each must fail.
 */
#define IDS 3
#define SIZE 8
#define NONE 15

#define CLAIM 1
#define RELEASE 2
#define CHECKPOINT 3

typedef Record {
	byte kind;
	byte id;
	byte upto;
	byte winner;
	byte released;
};

Record log[SIZE];
byte length = 0;
byte oldest = 0;
byte runs = 0;
/* Claims on their way to the log after their node has stopped waiting. */
bool late[IDS];
/* Releases still to be appended; they are repeated until they stand. */
bool owed[IDS];

inline append(k, i) {
	log[length].kind = k;
	log[length].id = i;
	length++
}

/* fold sets winner and released to the state before offset end, beginning with the record at offset begin. */
inline fold(begin, end) {
	at = begin;
	do
	:: at < end ->
		if
		:: log[at].kind == CLAIM && winner == NONE && !(released & (1 << log[at].id)) -> winner = log[at].id
		:: log[at].kind == RELEASE ->
			released = released | (1 << log[at].id);
			if
			:: winner == log[at].id -> winner = NONE
			:: else -> skip
			fi
		:: else -> skip
		fi;
		at++
	:: else -> break
	od
}

/* restore finds a checkpoint that covers the expired records. whole tells whether there is one. */
inline restore() {
	whole = (oldest == 0);
	winner = NONE;
	released = 0;
	from = 0;
	if
	:: whole -> skip
	:: else ->
		at = oldest;
		do
		:: at < length && !whole ->
			if
			:: log[at].kind == CHECKPOINT && log[at].upto >= oldest ->
				whole = true;
				winner = log[at].winner;
				released = log[at].released;
				from = log[at].upto
			:: else -> skip
			fi;
			at++
		:: else -> break
		od
	fi
}

inline execute() {
	runs++;
	assert(runs <= 1)
}

proctype Node(byte node; byte id; byte last) {
	byte at, from, place;
	byte winner = NONE;
	byte released = 0;
	bool whole = true;
	bool stop = false;
	bool won;
	do
	:: id <= last && !stop ->
		place = NONE;
		/* Append: answered, or in doubt. */
		if
		:: atomic { place = length; append(CLAIM, id) }
		:: late[id] = true
		fi;
#ifdef EARLY
		execute();
#endif
		/* Wait for the own record, give up, or crash. */
		do
		:: atomic { place == NONE ->
			at = oldest;
			do
			:: at < length && !(log[at].kind == CLAIM && log[at].id == id) -> at++
			:: else -> break
			od;
			if
			:: at < length -> place = at
			:: else -> skip
			fi };
			if
			:: place != NONE -> break
			:: atomic { owed[id] = true; place = NONE }; break
			:: atomic { stop = true; place = NONE }; break
			fi
		:: place != NONE -> break
		od;
		if
		:: place == NONE -> skip
		:: else ->
			d_step {
				whole = true;
				winner = NONE;
				released = 0;
				from = 0;
				if
				:: node == 0 ->
#ifdef EMPTY
					from = oldest
#else
					restore()
#endif
				:: else -> skip
				fi;
				if
				:: whole && from <= place ->
					fold(from, place + 1)
				:: else -> winner = NONE
				fi
			};
			d_step { at = 0; from = 0; released = 0; won = (winner == id); winner = NONE };
#ifdef REVIVE
			/* A lost claim looks again: it takes itself for the winner once all claims before it are released. */
			d_step {
				fold(0, length);
				at = 0;
				do
				:: at < place && (log[at].kind != CLAIM || (released & (1 << log[at].id))) -> at++
				:: else -> break
				od;
				won = won || (at == place && !(released & (1 << id)));
				at = 0;
				released = 0;
				winner = NONE
			};
#endif
			if
			:: won ->
				if
				:: execute()
#ifdef UNSAFE
					; owed[id] = true
#endif
				:: owed[id] = true	/* No endpoint was reached: the call was not sent. */
				:: stop = true
				fi
			:: !won && !whole -> owed[id] = true
			:: else -> skip
			fi
		fi;
		id++
	:: else -> break
	od
}

/* Network lands late claims and owed releases in any order, or drops late claims. One process for each claim. */
proctype Network(byte i) {
	end:
	do
	:: atomic { late[i] -> late[i] = false; append(CLAIM, i) }
	:: late[i] -> late[i] = false
	:: atomic { owed[i] -> owed[i] = false; append(RELEASE, i) }
	od
}

/* Keeper carries the state forward once and lets records before it expire, or records that nothing covers. */
proctype Keeper() {
	bool written = false;
	byte at;
	byte winner = NONE;
	byte released = 0;
	end:
	do
	:: atomic { length > 0 && !written && oldest == 0 ->
		written = true;
		winner = NONE;
		released = 0;
		fold(0, length);
		log[length].upto = length;
		log[length].winner = winner;
		log[length].released = released;
		append(CHECKPOINT, 0);
		winner = NONE;
		released = 0;
		at = 0 }
	:: atomic { oldest < length && oldest < 3 -> oldest++ }
	od
}

init {
	atomic {
		run Node(0, 0, 0);
		run Node(1, 1, 2);
		run Network(0);
		run Network(1);
		run Network(2);
		run Keeper()
	}
}
