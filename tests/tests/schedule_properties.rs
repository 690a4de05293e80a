//! Property tests of the placer under arbitrary sequences of updates, checked
//! against a simple model.

use std::collections::BTreeMap;

use pimentochute_base::{
    AttemptNumber, AttemptRef, IdempotencyKey, JobId, MilliSpan, MilliTime, PriorityClass,
    RackName, ResourceAmount, TaskIndex, TeamName, WorkKind, WorkerIncarnation, WorkerName,
};
use pimentochute_schedule::{
    CommittedTask, FitRule, HoldLimits, JobPlacer, MAX_PASSED_TASKS, PlacementDecision,
    PlacerSettings, TeamSpec, WaitingJob, WaitingTask, WorkerReadiness, WorkerSpec,
};
use proptest::collection::vec;
use proptest::prelude::*;

const WORKERS: usize = 6;
const TEAMS: usize = 3;
const JOBS: usize = 8;

/// One call of the placer, with indexes instead of names.
#[derive(Debug, Clone)]
enum Step {
    SetWorker(usize, u64, u64, usize),
    RemoveWorker(usize),
    SetTeam(usize, u32, u32),
    RemoveTeam(usize),
    AddJob(usize, JobShape),
    UpdateJob(usize),
    RemoveJob(usize),
    Decide(u64, usize),
    Confirm(usize),
    CommitDecision(usize),
    Revoke(usize),
    CommitElsewhere(usize, u32, u32, usize),
    Release(usize, bool),
    ReleaseUnknown(usize, u32, u32),
}

#[derive(Debug, Clone)]
struct JobShape {
    team: usize,
    kind: WorkKind,
    priority: PriorityClass,
    tasks: u32,
    cores: u64,
    memory: u64,
    accelerators: u64,
    run: Option<u64>,
    delay: u64,
    avoid: Option<usize>,
}

fn any_step() -> impl Strategy<Value = Step> {
    let worker = (0..WORKERS, 0..20u64, 0..3u64, 0..4usize);
    prop_oneof![
        4 => worker.prop_map(|(w, cores, acc, ready)| Step::SetWorker(w, cores, acc, ready)),
        1 => (0..WORKERS).prop_map(Step::RemoveWorker),
        2 => (0..TEAMS, 0..4u32, 0..12u32).prop_map(|(t, share, allotment)| Step::SetTeam(t, share, allotment)),
        1 => (0..TEAMS).prop_map(Step::RemoveTeam),
        6 => (0..JOBS, any_shape()).prop_map(|(j, shape)| Step::AddJob(j, shape)),
        2 => (0..JOBS).prop_map(Step::UpdateJob),
        1 => (0..JOBS).prop_map(Step::RemoveJob),
        8 => (0..60_000u64, 0..30usize).prop_map(|(by, max)| Step::Decide(by, max)),
        2 => any::<usize>().prop_map(Step::Confirm),
        2 => any::<usize>().prop_map(Step::CommitDecision),
        2 => any::<usize>().prop_map(Step::Revoke),
        1 => (0..JOBS, 0..4u32, 1..4u32, 0..WORKERS)
            .prop_map(|(j, t, a, w)| Step::CommitElsewhere(j, t, a, w)),
        4 => (any::<usize>(), any::<bool>()).prop_map(|(at, again)| Step::Release(at, again)),
        1 => (0..JOBS, 0..4u32, 1..4u32).prop_map(|(j, t, a)| Step::ReleaseUnknown(j, t, a)),
    ]
}

fn any_shape() -> impl Strategy<Value = JobShape> {
    let kind = prop_oneof![
        4 => Just(WorkKind::Batch),
        2 => Just(WorkKind::Service),
        2 => Just(WorkKind::Gang),
        1 => Just(WorkKind::Request),
    ];
    let priority = prop_oneof![
        Just(PriorityClass::Urgent),
        Just(PriorityClass::Normal),
        Just(PriorityClass::Bulk),
    ];
    let amounts = (
        1..6u64,
        0..6_000u64,
        prop_oneof![5 => Just(0u64), 1 => Just(1u64)],
    );
    let times = (proptest::option::of(1..200_000u64), 0..90_000u64);
    let rest = (amounts, times, proptest::option::of(0..WORKERS));
    (0..TEAMS, kind, priority, 1..5u32, rest).prop_map(|(team, kind, priority, tasks, rest)| {
        let ((cores, memory, accelerators), (run, delay), avoid) = rest;
        JobShape {
            team,
            kind,
            priority,
            tasks,
            cores,
            memory,
            accelerators,
            run,
            delay,
            avoid,
        }
    })
}

fn team_name(index: usize) -> TeamName {
    TeamName::new(&format!("t{index}")).unwrap()
}

fn worker_name(index: usize) -> WorkerName {
    WorkerName::new(&format!("w{index}")).unwrap()
}

fn job_id(index: usize) -> JobId {
    let key = IdempotencyKey::new(&format!("j{index}")).unwrap();
    JobId::new(&team_name(0), &key)
}

fn attempt_ref(job: JobId, task: u32, attempt: u32) -> AttemptRef {
    AttemptRef {
        job,
        task: TaskIndex::new(task),
        attempt: AttemptNumber::new(attempt),
    }
}

#[derive(Debug, Clone)]
struct ModelTask {
    attempt: u32,
    worker: WorkerName,
    team: TeamName,
    demand: ResourceAmount,
    kind: WorkKind,
    reserved: bool,
    /// The probe generation of the worker when the task was placed, if the worker
    /// was not usable then.
    generation: Option<u32>,
}

#[derive(Debug, Clone, Default)]
struct ModelWorker {
    spec: Option<WorkerSpec>,
    generation: u32,
}

/// The placer, a second one that gets the same updates, and the model.
struct Harness {
    placer: JobPlacer,
    second: JobPlacer,
    now: MilliTime,
    holds: bool,
    workers: BTreeMap<WorkerName, ModelWorker>,
    teams: BTreeMap<TeamName, u32>,
    jobs: BTreeMap<JobId, WaitingJob>,
    /// The next attempt of each task.
    attempts: BTreeMap<(JobId, u32), u32>,
    placed: BTreeMap<(JobId, u32), ModelTask>,
    decisions: Vec<PlacementDecision>,
}

impl Harness {
    fn new(holds: Option<HoldLimits>) -> Self {
        let settings = || PlacerSettings::new().with_holds(holds);
        Self {
            placer: JobPlacer::new(settings()),
            second: JobPlacer::new(settings()),
            now: MilliTime::new(1),
            holds: holds.is_some(),
            workers: BTreeMap::new(),
            teams: BTreeMap::new(),
            jobs: BTreeMap::new(),
            attempts: BTreeMap::new(),
            placed: BTreeMap::new(),
            decisions: Vec::new(),
        }
    }

    fn both(&mut self, call: impl Fn(&mut JobPlacer)) {
        call(&mut self.placer);
        call(&mut self.second);
    }

    fn run(&mut self, step: Step) {
        match step {
            Step::SetWorker(index, cores, accelerators, ready) => {
                self.set_worker(index, cores, accelerators, ready);
            }
            Step::RemoveWorker(index) => {
                let name = worker_name(index);
                if let Some(model) = self.workers.get_mut(&name) {
                    model.spec = None;
                }
                self.both(|placer| placer.remove_worker(&name));
            }
            Step::SetTeam(index, share, allotment) => {
                let name = team_name(index);
                self.teams.insert(name.clone(), allotment);
                let spec = TeamSpec {
                    name,
                    share,
                    allotment,
                };
                self.both(|placer| placer.set_team(spec.clone()));
            }
            Step::RemoveTeam(index) => {
                let name = team_name(index);
                self.teams.remove(&name);
                self.both(|placer| placer.remove_team(&name));
            }
            Step::AddJob(index, shape) => self.add_job(index, &shape),
            Step::UpdateJob(index) => self.update_job(job_id(index)),
            Step::RemoveJob(index) => {
                let id = job_id(index);
                self.jobs.remove(&id);
                self.both(|placer| placer.remove_job(id));
            }
            Step::Decide(by, max) => self.decide(by, max),
            Step::Confirm(at) => self.confirm(at),
            Step::CommitDecision(at) => self.commit_decision(at),
            Step::Revoke(at) => self.revoke(at),
            Step::CommitElsewhere(job, task, attempt, worker) => {
                self.commit_elsewhere(job_id(job), task, attempt, worker_name(worker));
            }
            Step::Release(at, again) => self.release(at, again),
            Step::ReleaseUnknown(job, task, attempt) => {
                let id = job_id(job);
                let placed = self.placed.get(&(id, task));
                if placed.is_none_or(|model| model.attempt != attempt) {
                    self.both(|placer| placer.release(attempt_ref(id, task, attempt)));
                }
            }
        }
        self.check_sums();
    }

    fn set_worker(&mut self, index: usize, cores: u64, accelerators: u64, ready: usize) {
        let readiness = [
            WorkerReadiness::Usable,
            WorkerReadiness::Usable,
            WorkerReadiness::Probe,
            WorkerReadiness::Unusable,
        ][ready];
        let capacity = ResourceAmount::new(cores * 1_000, cores * 2_000);
        let spec = WorkerSpec {
            name: worker_name(index),
            incarnation: WorkerIncarnation::new(cores),
            rack: RackName::new(&format!("r{}", index % 3)).unwrap(),
            capacity: capacity.with_accelerators(accelerators),
            readiness,
        };
        let model = self.workers.entry(spec.name.clone()).or_default();
        let was_usable = model
            .spec
            .as_ref()
            .is_some_and(|old| old.readiness == WorkerReadiness::Usable);
        if was_usable && readiness != WorkerReadiness::Usable {
            model.generation += 1;
        }
        model.spec = Some(spec.clone());
        self.both(|placer| placer.set_worker(spec.clone()));
    }

    fn add_job(&mut self, index: usize, shape: &JobShape) {
        let id = job_id(index);
        let demand = ResourceAmount::new(shape.cores * 1_000, shape.memory);
        let job = WaitingJob {
            job: id,
            team: team_name(shape.team),
            kind: shape.kind,
            priority: shape.priority,
            demand: demand.with_accelerators(shape.accelerators),
            task_count: shape.tasks,
            submitted: self.now,
            expected_run: shape.run.map(MilliSpan::new),
            finish_by: None,
            tasks: self.waiting_tasks(id, shape),
        };
        self.both(|placer| placer.add_job(job.clone()));
        // Requests are routed, not placed; the placer ignores them.
        if job.kind != WorkKind::Request {
            self.jobs.insert(id, job);
            self.drop_earlier(id);
        }
    }

    fn waiting_tasks(&self, id: JobId, shape: &JobShape) -> Vec<WaitingTask> {
        let tasks = (0..shape.tasks).map(|task| {
            let mut waiting = WaitingTask::new(TaskIndex::new(task));
            let next = self.attempts.get(&(id, task)).copied().unwrap_or(1);
            waiting.attempt = AttemptNumber::new(next);
            if shape.delay > 45_000 {
                waiting.not_before = self.now + MilliSpan::new(shape.delay);
            }
            waiting.avoid.extend(shape.avoid.map(worker_name));
            waiting
        });
        tasks.collect()
    }

    /// Updates a job in the placer from the model.
    fn update_job(&mut self, id: JobId) {
        let Some(mut job) = self.jobs.get(&id).cloned() else {
            return;
        };
        for task in &mut job.tasks {
            let next = self.attempts.get(&(id, task.task.get()));
            task.attempt = AttemptNumber::new(next.copied().unwrap_or(1));
        }
        self.jobs.insert(id, job.clone());
        self.both(|placer| placer.update_job(job.clone()));
        self.drop_earlier(id);
    }

    /// Removes placed attempts for which a later attempt waits.
    fn drop_earlier(&mut self, id: JobId) {
        let job = &self.jobs[&id];
        for task in &job.tasks {
            let key = (id, task.task.get());
            let placed = self.placed.get(&key);
            if placed.is_some_and(|model| model.attempt < task.attempt.get()) {
                self.placed.remove(&key);
            }
        }
    }

    fn decide(&mut self, by: u64, max: usize) {
        self.now = self.now + MilliSpan::new(by);
        let held = self.placer.stats().held_workers;
        let decisions = self.placer.decide(self.now, max);
        let second = self.second.decide(self.now, max);
        assert_eq!(
            decisions, second,
            "equal updates led to different decisions"
        );
        for decision in &decisions {
            self.check_decision(decision);
        }
        for decision in &decisions {
            self.check_avoided(decision, held);
        }
        let total: usize = decisions.iter().map(|d| d.tasks.len()).sum();
        let last = decisions.last().map_or(0, |d| d.tasks.len());
        assert!(
            total <= max || total - last < max,
            "{total} tasks placed, limit {max}"
        );
        if total < max && !self.holds {
            self.check_nothing_fits();
        }
        self.decisions.extend(decisions);
    }

    fn check_decision(&mut self, decision: &PlacementDecision) {
        let job = self.jobs[&decision.job].clone();
        assert!(!decision.tasks.is_empty());
        assert_eq!(decision.team, job.team);
        if job.kind == WorkKind::Gang {
            assert_eq!(
                decision.tasks.len(),
                job.task_count as usize,
                "part of a gang was placed"
            );
        }
        for choice in &decision.tasks {
            let key = (decision.job, choice.task.get());
            assert!(!self.placed.contains_key(&key), "task placed twice");
            let waiting = job.tasks.iter().find(|task| task.task == choice.task);
            let waiting = waiting.expect("placed tasks were waiting");
            assert_eq!(waiting.attempt, choice.attempt);
            assert!(waiting.not_before <= self.now, "placed before not_before");
            let model = &self.workers[&choice.worker];
            let spec = model.spec.clone().expect("chosen workers are known");
            assert_eq!(spec.incarnation, choice.incarnation);
            assert_ne!(spec.readiness, WorkerReadiness::Unusable);
            let probing = spec.readiness == WorkerReadiness::Probe;
            if probing {
                let probes = self.placed.values();
                let same = |task: &&ModelTask| {
                    task.worker == choice.worker && task.generation == Some(model.generation)
                };
                assert_eq!(probes.filter(same).count(), 0, "second probe on one worker");
                assert_ne!(job.kind, WorkKind::Gang);
            }
            let task = ModelTask {
                attempt: choice.attempt.get(),
                worker: choice.worker.clone(),
                team: job.team.clone(),
                demand: job.demand,
                kind: job.kind,
                reserved: true,
                generation: probing.then_some(model.generation),
            };
            self.placed.insert(key, task);
            let used = self.used_on(&choice.worker);
            assert!(used.fits_within(&spec.capacity), "over capacity: {used}");
            let allotment = self.teams[&job.team];
            assert!(
                self.count_of(&job.team) <= allotment,
                "more tasks than the allotment"
            );
        }
    }

    /// Checks that a worker that the task failed on is used only if the task fits
    /// on no other.
    fn check_avoided(&self, decision: &PlacementDecision, held: usize) {
        let job = &self.jobs[&decision.job];
        for choice in &decision.tasks {
            let waiting = job.tasks.iter().find(|task| task.task == choice.task);
            let avoid = &waiting.unwrap().avoid;
            if !avoid.contains(&choice.worker) || held > 0 {
                continue;
            }
            let other = self
                .workers_that_fit(&job.demand)
                .find(|name| !avoid.contains(name));
            assert_eq!(
                other, None,
                "{} was chosen although another worker fits",
                choice.worker
            );
        }
    }

    /// Checks that no independent task fits after a call that could have placed
    /// more.
    fn check_nothing_fits(&self) {
        for job in self.jobs.values() {
            let independent = matches!(job.kind, WorkKind::Batch | WorkKind::Service);
            let allotment = self.teams.get(&job.team).copied().unwrap_or(0);
            if !independent || self.count_of(&job.team) >= allotment {
                continue;
            }
            let waits = job.tasks.iter().find(|task| {
                let placed = self.placed.contains_key(&(job.job, task.task.get()));
                let next = self.attempts.get(&(job.job, task.task.get()));
                let current = task.attempt.get() == next.copied().unwrap_or(1);
                !placed && current && task.not_before <= self.now
            });
            if let Some(task) = waits {
                let mut workers_that_fit = self.workers_that_fit(&job.demand);
                let other = workers_that_fit.find(|name| !task.avoid.contains(name));
                assert_eq!(
                    other, None,
                    "a task of {} was not placed although it fits",
                    job.demand
                );
            }
        }
    }

    fn workers_that_fit<'a>(
        &'a self,
        demand: &'a ResourceAmount,
    ) -> impl Iterator<Item = WorkerName> + 'a {
        let specs = self
            .workers
            .values()
            .filter_map(|model| model.spec.as_ref());
        let usable = specs.filter(|spec| spec.readiness == WorkerReadiness::Usable);
        usable
            .filter(|spec| {
                let used = self.used_on(&spec.name) + *demand;
                used.fits_within(&spec.capacity)
            })
            .map(|spec| spec.name.clone())
    }

    fn confirm(&mut self, at: usize) {
        let Some(decision) = self.pick_decision(at) else {
            return;
        };
        for choice in &decision.tasks {
            let key = (decision.job, choice.task.get());
            if let Some(model) = self.placed.get_mut(&key)
                && model.attempt == choice.attempt.get()
            {
                model.reserved = false;
            }
        }
        self.both(|placer| placer.confirm(&decision));
    }

    fn commit_decision(&mut self, at: usize) {
        let Some(decision) = self.pick_decision(at) else {
            return;
        };
        for choice in &decision.tasks {
            let key = (decision.job, choice.task.get());
            let Some(model) = self.placed.get(&key).cloned() else {
                continue;
            };
            if model.attempt == choice.attempt.get() && model.reserved {
                self.commit(key, &model);
            }
        }
    }

    fn commit_elsewhere(&mut self, id: JobId, task: u32, attempt: u32, worker: WorkerName) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let next = self.attempts.get(&(id, task)).copied().unwrap_or(1);
        let placed = self
            .placed
            .get(&(id, task))
            .map_or(0, |model| model.attempt);
        if attempt < next.max(placed) || task >= job.task_count {
            return;
        }
        let model = ModelTask {
            attempt,
            worker,
            team: job.team.clone(),
            demand: job.demand,
            kind: job.kind,
            reserved: false,
            generation: None,
        };
        self.attempts.insert((id, task), attempt);
        self.commit((id, task), &model);
    }

    fn commit(&mut self, key: (JobId, u32), model: &ModelTask) {
        let task = CommittedTask {
            attempt: attempt_ref(key.0, key.1, model.attempt),
            team: model.team.clone(),
            kind: model.kind,
            worker: model.worker.clone(),
            demand: model.demand,
            expected_end: None,
        };
        let state = self.workers.get(&model.worker);
        let usable = state.and_then(|state| state.spec.as_ref());
        let usable = usable.is_some_and(|spec| spec.readiness == WorkerReadiness::Usable);
        let generation = state.map_or(0, |state| state.generation);
        let committed = ModelTask {
            reserved: false,
            generation: (!usable).then_some(generation),
            ..model.clone()
        };
        self.placed.insert(key, committed);
        self.both(|placer| placer.commit(task.clone()));
        self.both(|placer| placer.commit(task.clone()));
    }

    fn revoke(&mut self, at: usize) {
        let Some(decision) = self.pick_decision(at) else {
            return;
        };
        for choice in &decision.tasks {
            let key = (decision.job, choice.task.get());
            let placed = self.placed.get(&key);
            if placed.is_some_and(|m| m.reserved && m.attempt == choice.attempt.get()) {
                self.placed.remove(&key);
            }
        }
        self.both(|placer| placer.revoke(&decision));
    }

    /// Ends a committed task. If it waits again, it does so with the next attempt.
    fn release(&mut self, at: usize, again: bool) {
        let committed = self.placed.iter().filter(|(_, model)| !model.reserved);
        let committed: Vec<_> = committed.map(|(key, m)| (*key, m.attempt)).collect();
        let Some(((job, task), attempt)) = committed.get(at % committed.len().max(1)).copied()
        else {
            return;
        };
        self.placed.remove(&(job, task));
        self.attempts.insert((job, task), attempt + 1);
        self.both(|placer| placer.release(attempt_ref(job, task, attempt)));
        if again && at.is_multiple_of(2) {
            self.update_job(job);
        } else if again {
            self.add_task(job, task);
        }
    }

    /// Adds a single task to the placer, or the whole job if the placer has
    /// dropped it.
    fn add_task(&mut self, id: JobId, index: u32) {
        let next = self.attempts.get(&(id, index)).copied().unwrap_or(1);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let mut tasks = job.tasks.iter_mut();
        let Some(task) = tasks.find(|task| task.task.get() == index) else {
            return;
        };
        task.attempt = AttemptNumber::new(next);
        let task = task.clone();
        let known = self.placer.add_task(id, task.clone());
        assert_eq!(self.second.add_task(id, task), known);
        if !known {
            self.update_job(id);
        }
    }

    fn pick_decision(&self, at: usize) -> Option<PlacementDecision> {
        let index = at.checked_rem(self.decisions.len())?;
        self.decisions.get(index).cloned()
    }

    fn used_on(&self, worker: &WorkerName) -> ResourceAmount {
        let here = self.placed.values().filter(|task| task.worker == *worker);
        here.map(|task| task.demand).sum()
    }

    fn count_of(&self, team: &TeamName) -> u32 {
        let tasks = self.placed.values().filter(|task| task.team == *team);
        u32::try_from(tasks.count()).unwrap()
    }

    fn check_sums(&self) {
        let stats = self.placer.stats();
        let used: ResourceAmount = self.placed.values().map(|task| task.demand).sum();
        assert_eq!(stats.used, used);
        let reserved = self.placed.values().filter(|task| task.reserved).count();
        assert_eq!(stats.reserved_tasks, reserved);
        assert_eq!(self.placer.reservations().len(), reserved);
        assert_eq!(stats.committed_tasks, self.placed.len() - reserved);
        for index in 0..TEAMS {
            let team = team_name(index);
            assert_eq!(self.placer.tasks_of(&team), self.count_of(&team) as usize);
        }
        for (name, model) in &self.workers {
            let free = model.spec.as_ref();
            let free = free.map(|spec| spec.capacity.saturating_sub(&self.used_on(name)));
            assert_eq!(self.placer.free_on(name), free, "{name}");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    /// Guards against wrong totals, exceeded capacity or allotments, partly
    /// placed gangs, more than one probe per worker, avoidable retries on the
    /// same worker, and free resources left unused.
    #[test]
    fn updates_in_any_order_keep_the_rules(steps in vec(any_step(), 1..120)) {
        let mut harness = Harness::new(None);
        for step in steps {
            harness.run(step);
        }
    }

    /// Guards against holds that violate the rules of the test above.
    #[test]
    fn holds_keep_the_rules(steps in vec(any_step(), 1..120)) {
        let mut harness = Harness::new(Some(HoldLimits::default()));
        for step in steps {
            harness.run(step);
        }
    }

    /// Guards against starvation of a class: other classes place more tasks than
    /// the bound allows while it has tasks that fit.
    #[test]
    fn no_class_is_passed_over_for_long(
        slots in 1..12u64,
        runs in vec((0..3usize, 1..6usize), 1..60),
    ) {
        let mut placer = JobPlacer::new(PlacerSettings::new());
        placer.set_worker(WorkerSpec {
            name: worker_name(0),
            incarnation: WorkerIncarnation::new(1),
            rack: RackName::new("r").unwrap(),
            capacity: ResourceAmount::new(slots, slots),
            readiness: WorkerReadiness::Usable,
        });
        let classes = [PriorityClass::Urgent, PriorityClass::Normal, PriorityClass::Bulk];
        for (index, priority) in classes.into_iter().enumerate() {
            let name = team_name(index);
            placer.set_team(TeamSpec { name: name.clone(), share: 1, allotment: u32::MAX });
            placer.add_job(WaitingJob {
                job: job_id(index),
                team: name,
                kind: WorkKind::Batch,
                priority,
                demand: ResourceAmount::new(1, 1),
                task_count: 300,
                submitted: MilliTime::ZERO,
                expected_run: None,
                finish_by: None,
                tasks: (0..300).map(|task| WaitingTask::new(TaskIndex::new(task))).collect(),
            });
        }
        // A class waits for its own limit of passed tasks, for the rest of the
        // tasks that a job places in one turn, and for the turns of the other
        // classes.
        let bound = 2 * MAX_PASSED_TASKS as usize;
        let mut since = [0; 3];
        for (now, (_, max)) in runs.into_iter().enumerate() {
            let decisions = placer.decide(MilliTime::new(now as u64), max);
            for decision in &decisions {
                let class = (0..3).find(|index| decision.job == job_id(*index)).unwrap();
                prop_assert_ne!(decision.reason.fit, FitRule::Backfill);
                for (other, passed) in since.iter_mut().enumerate() {
                    *passed = if other == class { 0 } else { *passed + decision.tasks.len() };
                }
                placer.confirm(decision);
                decision.attempts().for_each(|attempt| placer.release(attempt));
            }
            prop_assert!(since.iter().all(|passed| *passed <= bound), "{since:?}");
        }
    }
}
