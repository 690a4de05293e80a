/*
 * Slices and placements: a task has at most one live attempt, and only the
 * owner of the slice places it.
 *
 * Hosts claim the slice and decide on a view of the log that may lag; a host
 * may pause between a decision and its append. A record may be appended twice
 * because the answer was lost.
 *
 * Variants without a guarding step, for which a violation must be found:
 *   NO_ATTEMPT_CHECK  a placement is valid although the task does not wait
 *   NO_SLICE_EPOCH    a placement is valid under an older epoch of the slice
 *   NO_CLAIM_CHECK    a claim is valid although its epoch is taken
 *   NO_REPEAT_CHECK   the end of "an attempt" is valid without its number, so
 *                     that a repeated end frees the place of a later attempt
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

/* The fold: the state that log order decides. */
byte slice_epoch;
byte slice_owner = HOSTS;
bool placed;
byte attempt;           /* the last attempt that was placed */

byte live;              /* attempts that were placed and run */
bool live_attempt[4];   /* by number */

proctype Host(byte me) {
    byte seen_epoch, seen_slice, seen_attempt;
    bool seen_placed;
    byte claim_epoch, place_epoch, place_attempt;
    do
    /* The follower reads the log to its end. */
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
