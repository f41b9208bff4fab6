/*
 * Hosts that follow a keyed log through each other.
 *
 * A host lists the log page by page, reads it on from the end that the first page told, or takes the newest record of
 * each key, or the changes from an offset on, from any other host. Whatever way it came, a host that says that it is whole
 * up to an offset must know the newest record of each key before it, or a later one: an older configuration never goes
 * back in force, and an endpoint that was removed is not used on.
 *
 * AHEAD takes the newest offset that a listing saw for its end, FORGET drops the removal of a key that is not known, BACK
 * tells changes from before a listing. Each must fail.
 */
#define HOSTS 2
#define KEYS 2
#define SIZE 4

typedef Entry {
	bool present;
	/* One more than the offset of the newest record known of the key, 0 for none. */
	byte known;
};

typedef Host {
	Entry entry[KEYS];
	bool listed;
	/* The host is whole up to next, and can tell changes from first on. */
	byte next;
	byte first;
};

byte key[SIZE];
bool put[SIZE];
byte length = 0;
Host host[HOSTS];

/* newest sets present and known to what the log holds of key k. */
inline newest(k, is, at) {
	is = false;
	at = 0;
	i = 0;
	do
	:: i < length ->
		if
		:: key[i] == k -> is = put[i]; at = i + 1
		:: else -> skip
		fi;
		i++
	:: else -> break
	od
}

/* take has host h take in that the record with offset at - 1 is the newest of key k. */
inline take(h, k, is, at) {
	if
	:: at > host[h].entry[k].known ->
#ifdef FORGET
		if
		:: !is && !host[h].entry[k].present -> skip
		:: else ->
			host[h].entry[k].present = is;
			host[h].entry[k].known = at
		fi
#else
		host[h].entry[k].present = is;
		host[h].entry[k].known = at
#endif
	:: else -> skip
	fi
}

/* replaced tells whether the log has another record of the key of record o behind it, before offset upto. */
#define replaced(o, upto) ((o + 1 < upto && key[o + 1] == key[o]) || (o + 2 < upto && key[o + 2] == key[o]) || \
	(o + 3 < upto && key[o + 3] == key[o]))
/* removed tells whether the key of record o was removed since. */
#define removed(o) ((!put[o]) || (o + 1 < length && key[o + 1] == key[o] && !put[o + 1]) || (o + 2 < length && key[o + 2] == key[o] && !put[o + 2]) || \
	(o + 3 < length && key[o + 3] == key[o] && !put[o + 3]))

/* check sees that host h knows what it says it knows. A listing may have found a key gone that was removed behind its end. */
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
	byte i, k, p, end, most;
	Entry page[KEYS];
	do
	:: atomic { !host[h].listed ->
		end = length;
		newest(0, page[0].present, page[0].known) };
		atomic {
		newest(1, page[1].present, page[1].known);
		most = end;
		k = 0;
		do
		:: k < KEYS ->
			host[h].entry[k].present = page[k].present;
			host[h].entry[k].known = (page[k].present -> page[k].known : 0);
			if
			:: page[k].present && page[k].known > most -> most = page[k].known
			:: else -> skip
			fi;
			k++
		:: else -> break
		od;
#ifdef AHEAD
		host[h].next = most;
#else
		host[h].next = end;
#endif
		host[h].first = end;
		host[h].listed = true;
		check(h) }
	:: atomic { host[h].listed && host[h].next < length ->
		take(h, key[host[h].next], put[host[h].next], host[h].next + 1);
		host[h].next++;
		check(h) }
	:: atomic {
		p = 1 - h;
		if
		:: host[p].listed && !host[h].listed ->
			k = 0;
			do
			:: k < KEYS ->
				host[h].entry[k].present = host[p].entry[k].present;
				host[h].entry[k].known = (host[p].entry[k].present -> host[p].entry[k].known : 0);
				k++
			:: else -> break
			od;
			host[h].next = host[p].next;
			host[h].first = host[p].next;
			host[h].listed = true
#ifdef BACK
		:: host[p].listed && host[h].listed && host[h].next < host[p].next ->
#else
		:: host[p].listed && host[h].listed && host[h].next < host[p].next && host[h].next >= host[p].first ->
#endif
			k = 0;
			do
			:: k < KEYS ->
				if
				:: host[p].entry[k].known > host[h].next -> take(h, k, host[p].entry[k].present, host[p].entry[k].known)
				:: else -> skip
				fi;
				k++
			:: else -> break
			od;
			host[h].next = host[p].next
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
