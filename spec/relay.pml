/*
 * Hosts that replicate a keyed log from each other.
 *
 * A host lists the log page by page and reads on from the end offset in the first page, or copies from another host the
 * newest record of each key, or the changes since an offset. Whichever source it used, a host that is complete up to an
 * offset must know the newest record of each key before that offset, or a later one: an older configuration must never come
 * back into force, and a removed endpoint must not be used any more.
 *
 * Mutants, each of which must fail: AHEAD uses the highest offset seen in a listing as its end, FORGET drops the removal of
 * an unknown key, BACK serves changes from before a listing.
 */
#define HOSTS 2
#define KEYS 2
#define SIZE 4

typedef Entry {
	bool present;
	/* The offset of the newest known record of the key plus one, 0 if there is none. */
	byte known;
};

typedef Host {
	Entry entry[KEYS];
	bool listed;
	/* The host is complete up to next, and can serve changes from first on. */
	byte next;
	byte first;
};

byte key[SIZE];
bool put[SIZE];
byte length = 0;
Host host[HOSTS];

/* newest sets exists and position to the presence and the known value of key k in the log. */
inline newest(k, exists, position) {
	exists = false;
	position = 0;
	i = 0;
	do
	:: i < length ->
		if
		:: key[i] == k -> exists = put[i]; position = i + 1
		:: else -> skip
		fi;
		i++
	:: else -> break
	od
}

/* merge applies the record of key k with offset position - 1 at host h, unless a newer one is known. */
inline merge(h, k, exists, position) {
	if
	:: position > host[h].entry[k].known ->
#ifdef FORGET
		if
		:: !exists && !host[h].entry[k].present -> skip
		:: else ->
			host[h].entry[k].present = exists;
			host[h].entry[k].known = position
		fi
#else
		host[h].entry[k].present = exists;
		host[h].entry[k].known = position
#endif
	:: else -> skip
	fi
}

/* replaced reports whether a later record, before offset upto, has the key of record o. */
#define replaced(o, upto) ((o + 1 < upto && key[o + 1] == key[o]) || (o + 2 < upto && key[o + 2] == key[o]) || \
	(o + 3 < upto && key[o + 3] == key[o]))
/* removed reports whether record o or a later record removes the key of record o. */
#define removed(o) ((!put[o]) || (o + 1 < length && key[o + 1] == key[o] && !put[o + 1]) || (o + 2 < length && key[o + 2] == key[o] && !put[o + 2]) || \
	(o + 3 < length && key[o + 3] == key[o] && !put[o + 3]))

/* check asserts that host h is complete up to next. A listing may already lack a key that was removed after its end. */
inline check(h) {
	i = 0;
	do
	:: i < host[h].next ->
		assert(replaced(i, host[h].next) || host[h].entry[key[i]].known > i || (!host[h].entry[key[i]].present && removed(i)));
		i++
	:: else -> break
	od
}

active proctype Writer() {
	do
	:: atomic { length < SIZE -> key[length] = 0; put[length] = true; length++ }
	:: atomic { length < SIZE -> key[length] = 0; put[length] = false; length++ }
	:: atomic { length < SIZE -> key[length] = 1; put[length] = true; length++ }
	:: atomic { length < SIZE -> key[length] = 1; put[length] = false; length++ }
	:: length == SIZE -> break
	od
}

proctype Reader(byte h) {
	byte i, k, peer, end, highest;
	Entry page[KEYS];
	do
	:: atomic { !host[h].listed ->
		end = length;
		newest(0, page[0].present, page[0].known) };
		atomic {
		newest(1, page[1].present, page[1].known);
		highest = end;
		k = 0;
		do
		:: k < KEYS ->
			host[h].entry[k].present = page[k].present;
			host[h].entry[k].known = (page[k].present -> page[k].known : 0);
			if
			:: page[k].present && page[k].known > highest -> highest = page[k].known
			:: else -> skip
			fi;
			k++
		:: else -> break
		od;
#ifdef AHEAD
		host[h].next = highest;
#else
		host[h].next = end;
#endif
		host[h].first = end;
		host[h].listed = true;
		check(h) }
	:: atomic { host[h].listed && host[h].next < length ->
		merge(h, key[host[h].next], put[host[h].next], host[h].next + 1);
		host[h].next++;
		check(h) }
	:: atomic {
		peer = 1 - h;
		if
		:: host[peer].listed && !host[h].listed ->
			k = 0;
			do
			:: k < KEYS ->
				host[h].entry[k].present = host[peer].entry[k].present;
				host[h].entry[k].known = (host[peer].entry[k].present -> host[peer].entry[k].known : 0);
				k++
			:: else -> break
			od;
			host[h].next = host[peer].next;
			host[h].first = host[peer].next;
			host[h].listed = true
#ifdef BACK
		:: host[peer].listed && host[h].listed && host[h].next < host[peer].next ->
#else
		:: host[peer].listed && host[h].listed && host[h].next < host[peer].next && host[h].next >= host[peer].first ->
#endif
			k = 0;
			do
			:: k < KEYS ->
				if
				:: host[peer].entry[k].known > host[h].next -> merge(h, k, host[peer].entry[k].present, host[peer].entry[k].known)
				:: else -> skip
				fi;
				k++
			:: else -> break
			od;
			host[h].next = host[peer].next
		:: else -> skip
		fi;
		check(h) }
	:: length == SIZE && host[h].listed && host[h].next == SIZE -> break
	od
}

init {
	atomic {
		run Reader(0);
		run Reader(1)
	}
}
