/*
 * Claim before run: one idempotency key, one host with one claim and one host with two.
 *
 * A host appends a claim, reads the stream up to it, and runs the call only if the claim has won at its own offset. An
 * append may take effect late or never after its host has given up; a host may pause anywhere, or crash. Host 0 reads from
 * the oldest retained record, so it needs a checkpoint once records have expired.
 *
 * Mutants, each of which must fail: EARLY runs the call before the claim is read back, REVIVE lets a lost claim win later,
 * after the winner is released, EMPTY treats an expired prefix as empty, UNSAFE releases a claim whose call was sent.
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
	byte coveredto;
	byte winner;
	byte released;
};

Record log[SIZE];
byte length = 0;
byte oldest = 0;
byte runs = 0;
/* Claims still in transit to the log after their host has stopped waiting. */
bool delayed[IDS];
/* Releases still to be appended; they are retried until they take effect. */
bool pendingrelease[IDS];

inline append(k, i) {
	log[length].kind = k;
	log[length].id = i;
	length++
}

/* replay applies the records from offset begin up to, but not including, offset end to winner and released. */
inline replay(begin, end) {
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

/* restore loads a checkpoint that covers the expired records. complete is false if one is needed and missing. */
inline restore() {
	complete = (oldest == 0);
	winner = NONE;
	released = 0;
	from = 0;
	if
	:: complete -> skip
	:: else ->
		at = oldest;
		do
		:: at < length && !complete ->
			if
			:: log[at].kind == CHECKPOINT && log[at].coveredto >= oldest ->
				complete = true;
				winner = log[at].winner;
				released = log[at].released;
				from = log[at].coveredto
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

proctype Host(byte host; byte id; byte last) {
	byte at, from, position;
	byte winner = NONE;
	byte released = 0;
	bool complete = true;
	bool stop = false;
	bool won;
	do
	:: id <= last && !stop ->
		position = NONE;
		/* The append is answered, or its outcome is unknown. */
		if
		:: atomic { position = length; append(CLAIM, id) }
		:: delayed[id] = true
		fi;
#ifdef EARLY
		execute();
#endif
		/* Wait until the claim is read back, give up, or crash. */
		do
		:: atomic { position == NONE ->
			at = oldest;
			do
			:: at < length && !(log[at].kind == CLAIM && log[at].id == id) -> at++
			:: else -> break
			od;
			if
			:: at < length -> position = at
			:: else -> skip
			fi };
			if
			:: position != NONE -> break
			:: atomic { pendingrelease[id] = true; position = NONE }; break
			:: atomic { stop = true; position = NONE }; break
			fi
		:: position != NONE -> break
		od;
		if
		:: position == NONE -> skip
		:: else ->
			d_step {
				complete = true;
				winner = NONE;
				released = 0;
				from = 0;
				if
				:: host == 0 ->
#ifdef EMPTY
					from = oldest
#else
					restore()
#endif
				:: else -> skip
				fi;
				if
				:: complete && from <= position ->
					replay(from, position + 1)
				:: else -> winner = NONE
				fi
			};
			d_step { at = 0; from = 0; released = 0; won = (winner == id); winner = NONE };
#ifdef REVIVE
			/* A lost claim is evaluated again and counts as the winner once all claims before it are released. */
			d_step {
				replay(0, length);
				at = 0;
				do
				:: at < position && (log[at].kind != CLAIM || (released & (1 << log[at].id))) -> at++
				:: else -> break
				od;
				won = won || (at == position && !(released & (1 << id)));
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
					; pendingrelease[id] = true
#endif
				:: pendingrelease[id] = true	/* No endpoint was available, so the call was not sent. */
				:: stop = true
				fi
			:: !won && !complete -> pendingrelease[id] = true
			:: else -> skip
			fi
		fi;
		id++
	:: else -> break
	od
}

/* Network applies delayed claims and pending releases in any order, or drops delayed claims. One process per claim. */
proctype Network(byte i) {
	end:
	do
	:: atomic { delayed[i] -> delayed[i] = false; append(CLAIM, i) }
	:: delayed[i] -> delayed[i] = false
	:: atomic { pendingrelease[i] -> pendingrelease[i] = false; append(RELEASE, i) }
	od
}

/* Checkpointer appends one checkpoint and expires records, whether a checkpoint covers them or not. */
proctype Checkpointer() {
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
		replay(0, length);
		log[length].coveredto = length;
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
		run Host(0, 0, 0);
		run Host(1, 1, 2);
		run Network(0);
		run Network(1);
		run Network(2);
		run Checkpointer()
	}
}
