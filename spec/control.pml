/*
 * Control of workers: a task never runs in two places.
 *
 * Attempt 1 of a task is placed on worker 0. As soon as its end is recorded,
 * attempt 2 is placed on worker 1. Two hosts take control of the workers,
 * start what they see placed, and report ends. A host's view of the log may
 * lag; it may pause between a decision and its append or command. Commands
 * are delivered at any later time, once. Control leases lapse at any time. A
 * worker that is not renewed stops its task before its loss is declared, and
 * forgets ended attempts at once, which is worse than it may do.
 *
 * The control record (WorkerSeen with its epoch) and the two guarding steps
 * around it, NO_READ_BACK and NO_RECORD_EPOCH, came into the design after this
 * model had found AS_WRITTEN, the design without them, to be wrong.
 *
 * Variants without a guarding step, for which a violation must be found:
 *   NO_WORKER_EPOCH   a worker accepts commands of an older control epoch
 *   NO_CONTROL_LEASE  a worker accepts commands after its control lease lapsed
 *   NO_REACQUIRE      a manager reports an end while its own command may arrive
 *   NO_READ_BACK      a manager starts tasks before its control record is read
 *   NO_RECORD_EPOCH   the end of an attempt is valid from an earlier manager
 *   AS_WRITTEN        the first design, which had no control record: neither
 *                     NO_READ_BACK's nor NO_RECORD_EPOCH's step
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

/* The fold: attempt 1 is placed until its end is recorded, then attempt 2. */
bool ended;
byte recorded[WORKERS];   /* the epoch of the last control record */

/* The workers. */
byte control[WORKERS];    /* the control epoch; zero before the first one */
byte holder[WORKERS];
bool leased[WORKERS];     /* whether the control lease runs */
bool running[WORKERS];

/* Start commands on their way from a host to a worker, with their epoch. */
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
    bool read_back[WORKERS];      /* the control record is in the view */
    byte my_control[WORKERS];
    bool sent;     /* a command to worker 0 may be on its way in this epoch */
    byte end_epoch; /* an end that was decided; zero if there is none */
    do
    :: atomic { true -> read_log() }
    /* Control is taken, or taken anew, which fences earlier commands. */
    :: atomic { control[0] < MAX_CONTROL && (!leased[0] || holder[0] == me) -> acquire(0) }
    :: atomic { control[1] < 1 -> acquire(1) }
    /* Append of the control record; a smaller epoch is not valid. */
    :: atomic { my_control[0] > recorded[0] -> recorded[0] = my_control[0] }
    :: atomic { my_control[1] > recorded[1] -> recorded[1] = my_control[1] }
    /* Start commands for what is placed in the view. */
    :: atomic { !seen_ended && end_epoch == 0 && my_control[0] > 0 && control_is_read(0) && nfull(start[WORKERS * me]) ->
        start[WORKERS * me]!my_control[0]; sent = true }
    :: atomic { seen_ended && my_control[1] > 0 && control_is_read(1) && nfull(start[WORKERS * me + 1]) ->
        start[WORKERS * me + 1]!my_control[1] }
    /* Worker 0 is listed under the control of the host, and attempt 1 is not
     * running: it has ended, or was never started. */
    :: atomic { !seen_ended && end_epoch == 0 && holds_worker_0 && leased[0] && !running[0] && nothing_sent ->
        end_epoch = my_control[0] }
    /* Worker 0 is given up: the leases have lapsed, so that nothing runs. */
    :: atomic { !seen_ended && end_epoch == 0 && holds_worker_0 && !leased[0] && !running[0] ->
        end_epoch = my_control[0] }
    /* Append of the end, which is read back before the host goes on. */
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
