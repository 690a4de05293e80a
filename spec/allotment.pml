/*
 * A team's limit is split into allotments for three data centres, which adopt
 * new versions of the configuration at different times. Checks that the
 * allotments in force never add up to more than the largest limit among the
 * versions between the oldest and the newest one in force, and that no start
 * exceeds the allotment of its data centre.
 *
 * Slice owners may lag: a record of an older version may be appended late.
 *
 * Variants without one of the guards, in each of which spin must find a
 * violation:
 *   NO_VERSION_CHECK   a record of an older version is valid
 *   NO_MONOTONE_SPLIT  the remainder goes to other data centres in each version
 *   NO_START_CHECK     a placement does not check the allotment in force
 */
#define CENTRES 3
#define VERSIONS 4

byte limit[VERSIONS];
byte published;             /* the newest version of the configuration */
byte version[CENTRES];      /* the version that the allotment follows */
byte allotted[CENTRES];
byte running[CENTRES];

#ifdef NO_MONOTONE_SPLIT
#define rank(v, centre) ((centre + v) % CENTRES)
#else
#define rank(v, centre) (centre)
#endif
#define part(v, centre) (limit[v] / CENTRES + (rank(v, centre) < limit[v] % CENTRES -> 1 : 0))

#ifdef NO_VERSION_CHECK
#define version_is_newer (decided > 0)
#else
#define version_is_newer (decided > version[me])
#endif
#ifdef NO_START_CHECK
#define start_is_within (seen > running[me])
#else
#define start_is_within (allotted[me] > running[me])
#endif

/* The bound covers every version between the oldest and the newest one in
 * force, since the record of each may still reach some data centre. */
inline check_sum() {
    low = version[0]; high = version[0];
    if :: version[1] < low -> low = version[1] :: else fi;
    if :: version[2] < low -> low = version[2] :: else fi;
    if :: version[1] > high -> high = version[1] :: else fi;
    if :: version[2] > high -> high = version[2] :: else fi;
    most = 0;
    do
    :: low <= high ->
        if :: limit[low] > most -> most = limit[low] :: else fi;
        low++
    :: else -> break
    od;
    assert(allotted[0] + allotted[1] + allotted[2] <= most);
    low = 0; high = 0; most = 0
}

proctype Centre(byte me) {
    byte decided, seen, newest, low, high, most;
    do
    /* The slice owner decides by a version that it has applied. */
    :: atomic { decided == 0 ->
        if
        :: published >= 1 -> decided = 1
        :: published >= 2 -> decided = 2
        :: published >= 3 -> decided = 3
        fi }
    /* The record of the decision is appended, possibly late. */
    :: atomic { decided > 0 ->
        if
        :: version_is_newer ->
            version[me] = decided; allotted[me] = part(decided, me);
            if :: decided > newest -> newest = decided :: else fi;
            assert(version[me] == newest);
            check_sum()
        :: else
        fi; decided = 0 }
    /* A placement is decided on a view that may be stale, then appended. */
    :: atomic { seen == 0 && allotted[me] > 0 -> seen = allotted[me] }
    :: atomic { seen > 0 ->
        if
        :: start_is_within ->
            running[me]++;
            assert(running[me] <= allotted[me])
        :: else
        fi; seen = 0 }
    :: atomic { running[me] > 0 -> running[me]-- }
    od
}

proctype Operator() {
    do
    :: atomic { published < VERSIONS - 1 -> published++ }
    :: published == VERSIONS - 1 -> break
    od
}

init {
    atomic {
        limit[0] = 0; limit[1] = 5; limit[2] = 5; limit[3] = 2;
        run Operator(); run Centre(0); run Centre(1); run Centre(2)
    }
}
