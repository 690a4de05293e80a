/*
 * Control of workers. Checks that a task never runs in two places at once.
 *
 * Attempt 1 of a task is placed on worker 0. As soon as its end is recorded,
 * attempt 2 is placed on worker 1. Two hosts take control of the workers, start
 * the attempts that they see placed, and report ends. A host's view of the log
 * may be stale, and a host may pause between a decision and its append or
 * command. Each command is delivered once, at any later time. Control leases
 * expire at any time. A worker whose lease is not renewed stops its task before
 * it is declared lost. A worker forgets ended attempts at once, which is a
 * worse case than the design allows.
 *
 * The model found a violation in the design without a control record, the
 * variant AS_WRITTEN. The control record (WorkerSeen with its epoch) and its two
 * guards, which NO_READ_BACK and NO_RECORD_EPOCH remove, prevent it.
 *
 * Variants without one of the guards, in each of which spin must find a
 * violation:
 *   NO_WORKER_EPOCH   a worker accepts commands of an older control epoch
 *   NO_CONTROL_LEASE  a worker accepts commands after its control lease expired
 *   NO_REACQUIRE      a manager reports an end while its own command may arrive
 *   NO_READ_BACK      a manager starts tasks before it has read its control
 *                     record back from the log
 *   NO_RECORD_EPOCH   the end of an attempt is valid from an earlier manager
 *   AS_WRITTEN        the design without a control record, which lacks the guards
 *                     of both NO_READ_BACK and NO_RECORD_EPOCH
 */
#define WORKERS 2
#define MAX_CONTROL 3

#ifdef AS_WRITTEN
#define NO_READ_BACK
#define NO_RECORD_EPOCH
#endif
#ifdef NO_WORKER_EPOCH
#define epoch_is_current true
#else
#define epoch_is_current (epoch == control[me])
#endif
#ifdef NO_CONTROL_LEASE
#define lease_runs true
#else
#define lease_runs leased[me]
#endif
#ifdef NO_REACQUIRE
#define nothing_sent true
#else
#define nothing_sent (!sent)
#endif
#ifdef NO_READ_BACK
#define control_is_read(worker) true
#else
#define control_is_read(worker) (read_back[worker])
#endif
#ifdef NO_RECORD_EPOCH
#define end_is_current true
#else
#define end_is_current (end_epoch == recorded[0])
#endif
#define holds_worker_0 (my_control[0] > 0 && my_control[0] == control[0])

/* The state of the log: attempt 1 is placed until its end is recorded, then
 * attempt 2. */
bool ended;
byte recorded[WORKERS];   /* the epoch of the last control record */

/* The workers. */
byte control[WORKERS];    /* the control epoch; zero before the first acquisition */
byte holder[WORKERS];
bool leased[WORKERS];     /* whether the control lease is valid */
bool running[WORKERS];

/* Start commands in flight from each host to each worker; each holds the control
 * epoch of its sender. */
chan start[4] = [1] of { byte };

inline accept() {
    if
    :: epoch_is_current && lease_runs && !running[me] ->
        running[me] = true;
        assert(!(running[0] && running[1]))
    :: else
    fi;
    epoch = 0
}

proctype Worker(byte me) {
    byte epoch;
    do
    :: atomic { start[me]?epoch -> accept() }
    :: atomic { start[WORKERS + me]?epoch -> accept() }
    :: atomic { running[me] -> running[me] = false }
    :: atomic { leased[me] -> leased[me] = false }
    od
}

inline read_log() {
    seen_ended = ended;
    read_back[0] = (my_control[0] > 0 && recorded[0] == my_control[0]);
    read_back[1] = (my_control[1] > 0 && recorded[1] == my_control[1])
}

inline acquire(worker) {
    control[worker]++; holder[worker] = me; leased[worker] = true;
    my_control[worker] = control[worker];
    read_back[worker] = false;
    if :: worker == 0 -> sent = false :: else fi
}

proctype Host(byte me) {
    bool seen_ended;              /* the view of the log */
    bool read_back[WORKERS];      /* whether the control record is in the view */
    byte my_control[WORKERS];
    bool sent;     /* a command to worker 0 may be in flight in this epoch */
    byte end_epoch; /* the epoch of an end to append; zero if there is none */
    do
    :: atomic { true -> read_log() }
    /* The host acquires or re-acquires control, which fences earlier commands. */
    :: atomic { control[0] < MAX_CONTROL && (!leased[0] || holder[0] == me) -> acquire(0) }
    :: atomic { control[1] < 1 -> acquire(1) }
    /* The control record is appended; one with a smaller epoch is invalid. */
    :: atomic { my_control[0] > recorded[0] -> recorded[0] = my_control[0] }
    :: atomic { my_control[1] > recorded[1] -> recorded[1] = my_control[1] }
    /* Start commands are sent for the attempt that is placed in the view. */
    :: atomic { !seen_ended && end_epoch == 0 && my_control[0] > 0 && control_is_read(0) && nfull(start[WORKERS * me]) ->
        start[WORKERS * me]!my_control[0]; sent = true }
    :: atomic { seen_ended && my_control[1] > 0 && control_is_read(1) && nfull(start[WORKERS * me + 1]) ->
        start[WORKERS * me + 1]!my_control[1] }
    /* Worker 0, under the control of the host, reports that attempt 1 is not
     * running: it has ended or was never started. */
    :: atomic { !seen_ended && end_epoch == 0 && holds_worker_0 && leased[0] && !running[0] && nothing_sent ->
        end_epoch = my_control[0] }
    /* Worker 0 is declared lost: its leases have expired, so nothing runs on it. */
    :: atomic { !seen_ended && end_epoch == 0 && holds_worker_0 && !leased[0] && !running[0] ->
        end_epoch = my_control[0] }
    /* The end is appended, and read back before the host continues. */
    :: atomic { end_epoch > 0 ->
        if
        :: end_is_current -> ended = true
        :: else
        fi;
        end_epoch = 0; read_log() }
    od
}

init {
    atomic { run Worker(0); run Worker(1); run Host(0); run Host(1) }
}
