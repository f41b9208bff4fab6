/*
 * Rule publication: operators race through nodes that read the log at their own pace.
 *
 * A publication names the version it was made from. Every reader accepts it if that version is in force at its offset.
 * An answer may be lost; the operator then publishes the same ID again. A reader may restart from a checkpoint once
 * records have expired, and may take the newest file from a peer.
 *
 * NOBASE accepts whatever comes, NOTAIL takes a checkpoint without the records between its state and its own offset,
 * REVERT takes a peer's file whatever its version, TWICE counts a publication again that was published twice.
 * Each must fail.
 */
#define READERS 2
#define SIZE 8

#define PUBLICATION 1
#define CHECKPOINT 2

typedef Record {
	byte kind;
	byte id;
	byte base;
	byte upto;
	byte version;
	byte content;
	byte seen;
};

Record log[SIZE];
byte length = 0;
byte oldest = 0;
/* The content of each version, as the first reader to accept it saw it. */
byte agreed[SIZE];
/* Publications that a reader has accepted: no reader may refuse them. */
byte accepted;
/* The version and content in force at each reader. */
byte version[READERS];
byte content[READERS];

/* judge applies the record at offset o to v, c and s, the publications seen. */
inline judge(o, v, c, s) {
	if
	:: log[o].kind == PUBLICATION ->
		if
#ifdef TWICE
		:: false -> skip
#else
		:: s & (1 << log[o].id) -> skip
#endif
		:: else ->
			s = s | (1 << log[o].id);
			if
#ifdef NOBASE
			:: true ->
#else
			:: log[o].base == v ->
#endif
				assert(log[o].base == v);
				accepted = accepted | (1 << log[o].id);
				v++;
				c = log[o].id + 1
			:: else -> assert(!(accepted & (1 << log[o].id)))
			fi
		fi
	:: else -> skip
	fi
}

/* enforce puts version v with content c in force at reader r if it is higher. */
inline enforce(r, v, c) {
#ifdef REVERT
	if
	:: v > 0 ->
		assert(v >= version[r]);
#else
	if
	:: v > version[r] ->
#endif
		version[r] = v;
		content[r] = c;
		if
		:: agreed[v] == 0 -> agreed[v] = c
		:: else -> assert(agreed[v] == c)
		fi
	:: else -> skip
	fi
}

proctype Reader(byte r) {
	byte next, v, c, s, o;
	bool found;
	end:
	do
	:: atomic { next < length && next >= oldest ->
		judge(next, v, c, s);
		next++;
		enforce(r, v, c) }
	/* Start anew, or fall behind the expired records: begin at a checkpoint that covers them. */
	:: atomic { oldest > 0 && next != length ->
		found = false;
		o = oldest;
		do
		:: o < length && !found ->
			if
			:: log[o].kind == CHECKPOINT && log[o].upto >= oldest -> found = true
			:: else -> o++
			fi
		:: else -> break
		od;
		if
		:: found ->
			v = log[o].version;
			c = log[o].content;
			s = log[o].seen;
#ifdef NOTAIL
			next = o + 1;
#else
			next = log[o].upto;
#endif
			enforce(r, v, c)
		:: else -> skip
		fi;
		o = 0;
		found = false }
	/* Take the file of the other reader. */
	:: atomic { version[1 - r] != version[r] -> enforce(r, version[1 - r], content[1 - r]) }
	od
}

/* Operator publishes an ID on top of what a reader has in force; operator 0 may do so again after a lost answer. */
proctype Operator(byte id) {
	byte base, sent;
	base = version[id % READERS];
	do
	:: atomic { sent < 1 + (id == 0) && length < SIZE - 1 ->
		log[length].kind = PUBLICATION;
		log[length].id = id;
		log[length].base = base;
		length++;
		sent++ }
	:: break
	od
}

/* Keeper folds the stream up to some offset, appends that as a checkpoint later, and lets records expire. */
proctype Keeper() {
	byte upto, v, c, s;
	byte written = 0;
	end:
	do
	:: atomic { upto < length -> judge(upto, v, c, s); upto++ }
	:: atomic { length < SIZE - 1 && upto > 0 && written < 1 ->
		written++;
		log[length].kind = CHECKPOINT;
		log[length].upto = upto;
		log[length].version = v;
		log[length].content = c;
		log[length].seen = s;
		length++ }
	:: atomic { oldest < length && oldest < 3 -> oldest++ }
	od
}

init {
	atomic {
		run Reader(0);
		run Reader(1);
		run Operator(0);
		run Operator(1);
		run Operator(2);
		run Keeper()
	}
}
