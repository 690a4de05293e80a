/*
 * Patches, snapshots and retention of the configuration. Checks that no host
 * ever loses an accepted patch, and that only one of two patches on the same
 * base is accepted.
 *
 * Operators read a version and append a patch that replaces the value that they
 * read. Each patch sets a bit of its own, so that a lost patch is a lost bit.
 *
 * Variants without one of the guards, in each of which spin must find a
 * violation:
 *   NO_BASE_CHECK      a patch is valid against any version
 *   NO_SNAPSHOT_CHECK  a reader loads a snapshot that is older than its state
 *   NO_GAP_CHECK       a reader skips removed records without a snapshot
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

/* The state before each offset, from applying all earlier records. */
byte true_version[5];
byte true_value[5];

/* Two snapshots: the newest, and the previous one, which may arrive late. */
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

/* Appends a patch and applies it. A valid patch must keep every accepted bit. */
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

/* A reader applies the records that it reads. Its state must match the log. */
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
    /* For a reader behind the first retained record there is a snapshot. */
    :: atomic { next < first -> assert(newest_offset >= first || may_skip) ; break }
    :: atomic { next == RECORDS -> break }
    od
}

/* Publishes snapshots and removes old records. A snapshot may reach readers
 * after a newer one. */
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
