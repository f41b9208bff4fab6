/*
 * Rule publication: operators publish concurrently through hosts, which read the log at different speeds.
 *
 * A publication names the version that it is based on. Each reader accepts it if that version is in force at its offset.
 * An answer may be lost, after which the operator publishes the same ID again. A reader may restart from a checkpoint once
 * records have expired, and may adopt the newest rule file of a peer.
 *
 * Mutants, each of which must fail: NOBASE accepts every publication, NOTAIL skips the records between the offset that a
 * checkpoint covers and its own offset, REVERT adopts a peer's file of any version, TWICE applies a repeated publication
 * again.
 */
#define READERS 2
#define SIZE 8

#define PUBLICATION 1
#define CHECKPOINT 2

typedef Record {
	byte kind;
	byte id;
	byte base;
	byte coveredto;
	byte version;
	byte content;
	byte processed;
};

Record log[SIZE];
byte length = 0;
byte oldest = 0;
/* The content of each version according to the first reader that accepted it. */
byte contentof[SIZE];
/* Publications accepted by any reader, as a bit set: no other reader may reject them. */
byte accepted;
/* The version and content in force at each reader. */
byte version[READERS];
byte content[READERS];

/* evaluate applies the record at offset o to version v, content c and s, the bit set of processed publications. */
inline evaluate(o, v, c, s) {
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

/* enforce puts version v with content c in force at reader r if it is newer than the current one. */
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
		:: contentof[v] == 0 -> contentof[v] = c
		:: else -> assert(contentof[v] == c)
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
		evaluate(next, v, c, s);
		next++;
		enforce(r, v, c) }
	/* Restart, or lag behind the oldest record: begin at a checkpoint that covers the expired records. */
	:: atomic { oldest > 0 && next != length ->
		found = false;
		o = oldest;
		do
		:: o < length && !found ->
			if
			:: log[o].kind == CHECKPOINT && log[o].coveredto >= oldest -> found = true
			:: else -> o++
			fi
		:: else -> break
		od;
		if
		:: found ->
			v = log[o].version;
			c = log[o].content;
			s = log[o].processed;
#ifdef NOTAIL
			next = o + 1;
#else
			next = log[o].coveredto;
#endif
			enforce(r, v, c)
		:: else -> skip
		fi;
		o = 0;
		found = false }
	/* Adopt the file of the other reader. */
	:: atomic { version[1 - r] != version[r] -> enforce(r, version[1 - r], content[1 - r]) }
	od
}

/* Operator publishes an ID based on the version in force at a reader; operator 0 may repeat it after a lost answer. */
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

/* Checkpointer applies the stream up to some offset, appends that state as a checkpoint later, and expires records. */
proctype Checkpointer() {
	byte coveredto, v, c, s;
	byte written = 0;
	end:
	do
	:: atomic { coveredto < length -> evaluate(coveredto, v, c, s); coveredto++ }
	:: atomic { length < SIZE - 1 && coveredto > 0 && written < 1 ->
		written++;
		log[length].kind = CHECKPOINT;
		log[length].coveredto = coveredto;
		log[length].version = v;
		log[length].content = c;
		log[length].processed = s;
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
		run Checkpointer()
	}
}
