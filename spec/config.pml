/*
 * Patches, snapshots and retention: an accepted patch is never undone on any
 * host, and of two patches on one base one is accepted.
 *
 * Operators read a version and append a patch that replaces what they have
 * read; each patch sets its own bit, so that a lost patch is a lost bit.
 *
 * Variants without a guarding step, for which a violation must be found:
 *   NO_BASE_CHECK      a patch is valid against any version
 *   NO_SNAPSHOT_CHECK  a reader loads a snapshot that is behind it
 *   NO_GAP_CHECK       a reader goes on behind a gap without a snapshot
 *   NO_SNAPSHOT_FIRST  retention removes records that no snapshot covers
 */
#define RECORDS 4
#define READERS 2
#define OPERATORS 2

/* The log: the base and the value of each patch, and whether it is valid. */
byte base[RECORDS];
byte value[RECORDS];
byte end;                 /* the offset of the next record */
byte first;               /* the first retained offset */

/* The state after each offset, as a fold of the whole log has it. */
byte true_version[5];
byte true_value[5];

/* Two snapshots: one that may be late, and the newest. */
byte late_offset, newest_offset;
byte late_version, newest_version;
byte late_value, newest_value;

#ifdef NO_BASE_CHECK
#define base_is_current true
#else
#define base_is_current (base[end] == true_version[end])
#endif
#ifdef NO_SNAPSHOT_CHECK
#define snapshot_is_ahead(offset) true
#else
#define snapshot_is_ahead(offset) (offset > next)
#endif
#ifdef NO_GAP_CHECK
#define may_skip true
#else
#define may_skip false
#endif
#ifdef NO_SNAPSHOT_FIRST
#define is_covered true
#else
#define is_covered (first < newest_offset)
#endif

/* Appends a patch and folds it. A valid one must keep every accepted bit. */
inline append(patch_base, patch_value) {
    base[end] = patch_base; value[end] = patch_value;
    if
    :: base_is_current ->
        true_version[end + 1] = true_version[end] + 1;
        true_value[end + 1] = patch_value;
        assert((true_value[end] & patch_value) == true_value[end])
    :: else ->
        true_version[end + 1] = true_version[end];
        true_value[end + 1] = true_value[end]
    fi;
    end++
}

proctype Operator(byte mark) {
    byte seen_version, seen_value, patches;
    bool reading;
    do
    :: atomic { !reading && patches < 2 ->
        seen_version = true_version[end]; seen_value = true_value[end]; reading = true }
    :: atomic { reading && end < RECORDS ->
        append(seen_version, (seen_value | (mark << patches)));
        patches++; reading = false }
    :: atomic { patches == 2 || end == RECORDS -> break }
    od
}

inline check_reader() {
    assert(version >= before);
    assert(version == true_version[next] && config == true_value[next]);
    before = version
}

/* A reader folds what it reads by itself; it must agree with the log. */
proctype Reader() {
    byte next, version, config, before;
    do
    :: atomic { next < end && next >= first ->
        if
        :: base[next] == version -> version++; config = value[next]
        :: else
        fi;
        next++; check_reader() }
    :: atomic { next < first && may_skip -> next = first }
    :: atomic { late_offset > 0 && snapshot_is_ahead(late_offset) ->
        next = late_offset; version = late_version; config = late_value; check_reader() }
    :: atomic { newest_offset > 0 && snapshot_is_ahead(newest_offset) ->
        next = newest_offset; version = newest_version; config = newest_value; check_reader() }
    /* A reader behind the retained start is never stuck. */
    :: atomic { next < first -> assert(newest_offset >= first || may_skip) ; break }
    :: atomic { next == RECORDS -> break }
    od
}

/* Publishes snapshots and removes old records. A published one may reach
 * readers after a newer one. */
proctype Platform() {
    do
    :: atomic { newest_offset < end ->
        late_offset = newest_offset; late_version = newest_version; late_value = newest_value;
        newest_offset = end; newest_version = true_version[end]; newest_value = true_value[end] }
    :: atomic { first < end && is_covered -> first++ }
    :: atomic { first == RECORDS -> break }
    od
}

init {
    atomic {
        run Operator(1); run Operator(4); run Reader(); run Reader(); run Platform()
    }
}
