/*
 * Slices and placements. Checks that a task has at most one live attempt, and
 * that only the owner of the slice places it.
 *
 * Hosts claim the slice and decide on a view of the log that may be stale. A
 * host may pause between a decision and its append. A record may be appended
 * twice, because the answer to the first append was lost.
 *
 * Variants without one of the guards, in each of which spin must find a
 * violation:
 *   NO_ATTEMPT_CHECK  a placement is valid although the task is not waiting
 *   NO_SLICE_EPOCH    a placement is valid under an older epoch of the slice
 *   NO_CLAIM_CHECK    a claim is valid although its epoch is taken
 *   NO_REPEAT_CHECK   the end of an attempt is valid whatever its number is, so
 *                     that a repeated end releases a later attempt's placement
 */
#define HOSTS 2
#define MAX_ATTEMPTS 3
#define MAX_CLAIMS 3

#ifdef NO_ATTEMPT_CHECK
#define attempt_is_next true
#else
#define attempt_is_next (!placed && place_attempt == attempt + 1)
#endif
#ifdef NO_SLICE_EPOCH
#define slice_is_owned true
#else
#define slice_is_owned (place_epoch == slice_epoch)
#endif
#ifdef NO_CLAIM_CHECK
#define claim_is_next true
#else
#define claim_is_next (claim_epoch == slice_epoch + 1)
#endif
#ifdef NO_REPEAT_CHECK
#define end_is_live placed
#else
#define end_is_live (placed && end_attempt == attempt)
#endif

/* The state of the log, as determined by the order of its records. */
byte slice_epoch;
byte slice_owner = HOSTS;
bool placed;
byte attempt;           /* the last attempt that was placed */

byte live;              /* the number of attempts that are placed and running */
bool live_attempt[4];   /* by number */

proctype Host(byte me) {
    byte seen_epoch, seen_slice, seen_attempt;
    bool seen_placed;
    byte claim_epoch, place_epoch, place_attempt;
    do
    /* The host reads the log to its end. */
    :: atomic { seen_epoch != slice_epoch || seen_placed != placed || seen_attempt != attempt ->
        seen_placed = placed; seen_attempt = attempt; seen_epoch = slice_epoch;
        seen_slice = (slice_owner == me -> slice_epoch : 0) }
    /* A claim is decided, then appended. */
    :: atomic { claim_epoch == 0 && seen_epoch < MAX_CLAIMS -> claim_epoch = seen_epoch + 1 }
    :: atomic { claim_epoch > 0 ->
        if
        :: claim_is_next ->
            assert(claim_epoch > slice_epoch);
            slice_epoch = claim_epoch; slice_owner = me
        :: else
        fi; claim_epoch = 0 }
    /* A placement is decided, then appended. */
    :: atomic { place_epoch == 0 && seen_slice > 0 && !seen_placed && seen_attempt < MAX_ATTEMPTS ->
        place_epoch = seen_slice; place_attempt = seen_attempt + 1 }
    :: atomic { place_epoch > 0 ->
        if
        :: attempt_is_next && slice_is_owned ->
            assert(place_epoch == slice_epoch && slice_owner == me);
            placed = true; attempt = place_attempt;
            live++; live_attempt[attempt] = true;
            assert(live <= 1)
        :: else
        fi;
        place_epoch = 0; place_attempt = 0 }
    od
}

inline append_end() {
    if
    :: end_is_live -> placed = false
    :: else
    fi
}

/* Ends attempts and appends each end, some of them twice. */
proctype Worker() {
    byte end_attempt, number;
    do
    :: atomic { end_attempt == 0 && live > 0 ->
        number = 1;
        do
        :: live_attempt[number] -> break
        :: else -> number++
        od;
        live--; live_attempt[number] = false;
        end_attempt = number; number = 0 }
    :: atomic { end_attempt > 0 -> append_end() }
    :: atomic { end_attempt > 0 -> append_end(); end_attempt = 0 }
    od
}

init {
    atomic { run Host(0); run Host(1); run Worker() }
}
