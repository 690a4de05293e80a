//! Orders on their way, what workers do with them, and their answers.

use pimentochute_base::{MilliSpan, MilliTime};
use pimentochute_work::{
    AdviceCommand, AdviceRow, OrderError, PollCommand, RunEnd, StartCommand, StopCommand,
    WorkerListing, WorkerTarget,
};

use super::fleet::{FleetMachine, GangRun};
use super::life::LifeRun;
use super::owner::OwnerProcess;
use super::scenario::FaultKind;
use super::simulation::{Message, Simulation, UNIX_START};
use crate::work_support::{ADVISED, config};

/// The timeout of an order at the owner, in milliseconds.
pub const ORDER_TIMEOUT: u64 = 700;
/// How late an order may be carried out by a later life than the one that was up when it
/// left; less than a lease.
const LATEST_FOR_NEXT_LIFE: MilliSpan = MilliSpan::new(5_000);
/// The latest that an order is carried out, in milliseconds.
const LATEST_ORDER: u64 = 12_000;

/// An order and what the network does with it.
#[derive(Debug, Clone)]
pub struct SentOrder {
    pub epoch: u64,
    pub kind: OrderKind,
    pub sent: MilliTime,
    /// The life of the machine at the address as the order left.
    pub life: u32,
}

#[derive(Debug, Clone)]
pub enum OrderKind {
    Start(StartCommand),
    Stop(StopCommand),
    Poll(PollCommand),
}

/// The result of an order for its owner.
#[derive(Debug, Clone)]
pub enum OrderResult {
    Clock(Result<MilliTime, OrderError>),
    Listing(Result<WorkerListing, OrderError>),
}

/// A poll whose answer waits for an end.
pub struct HeldPoll {
    pub order: u64,
    pub machine: usize,
    pub life: u32,
    pub until: MilliTime,
}

impl Simulation {
    /// Returns the machine with the address of an order; `None` for the empty address of a
    /// worker that is known only from a record.
    pub fn machine_at(&self, target: &WorkerTarget) -> Option<usize> {
        let mut machines = self.machines.iter();
        machines.position(|machine| machine.address == target.address)
    }

    pub fn send_order(&mut self, epoch: u64, kind: OrderKind) -> u64 {
        let order = self.next_number();
        let machine = self.machine_at(kind.target());
        let life = machine.map_or(0, |index| self.machines[index].lives);
        let wait = match &kind {
            OrderKind::Poll(command) => command.max_wait,
            OrderKind::Start(_) | OrderKind::Stop(_) => MilliSpan::ZERO,
        };
        let sent = SentOrder {
            epoch,
            kind,
            sent: self.now,
            life,
        };
        self.orders.insert(order, sent);
        self.send(
            Message::Timeout(order),
            MilliSpan::new(ORDER_TIMEOUT) + wait,
        );
        let delay = if self.draws(FaultKind::LateOrder, 40) {
            self.span(10..LATEST_ORDER)
        } else {
            self.span(1..10)
        };
        self.send(Message::Order(order), delay);
        order
    }

    pub fn deliver_due(&mut self) {
        while let Some(entry) = self.messages.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let message = entry.remove();
            self.deliver(message);
        }
    }

    pub fn deliver(&mut self, message: Message) {
        let epoch = match &message {
            Message::Order(order) => {
                self.carry_out(*order);
                return;
            }
            Message::Answer(order, _) | Message::Timeout(order) => self.orders[order].epoch,
            Message::Advised(epoch, ..)
            | Message::Recorded(epoch, ..)
            | Message::Intake(epoch, _) => *epoch,
        };
        let now = self.now;
        let mut owners = self.owners.iter_mut();
        let Some(owner) = owners.find(|owner| owner.epoch == epoch) else {
            return;
        };
        if owner.is_frozen(now) {
            let delay = owner.frozen_until.since(now);
            self.send(message, delay);
            return;
        }
        if let Message::Timeout(order) = &message
            && owner.open.contains(order)
        {
            let sent = self.orders[order].clone();
            self.count_meeting(&sent);
        }
        let mut owners = self.owners.iter_mut();
        let Some(owner) = owners.find(|owner| owner.epoch == epoch) else {
            return;
        };
        owner.cell.advance(owner.clock(now), now + UNIX_START);
        match message {
            Message::Order(_) => {}
            Message::Answer(order, result) => {
                if owner.open.remove(&order) {
                    self.orders[&order].kind.pass(owner, result);
                }
            }
            Message::Timeout(order) => {
                if owner.open.remove(&order) {
                    let kind = &self.orders[&order].kind;
                    kind.pass(owner, kind.error(OrderError::OutcomeUnknown));
                }
            }
            Message::Advised(_, command, rows) => {
                owner.cell.advice_answered(&command, Some(rows));
            }
            Message::Recorded(_, sequence, sent) => {
                owner.cell.update_log_contact(owner.clock(sent));
                while owner.confirmed < sequence {
                    owner.confirmed += 1;
                    owner.cell.batch_recorded();
                }
            }
            Message::Intake(_, code) => {
                let submission = self.jobs[&code].submission.clone();
                owner.cell.accept_from_intake(code, submission);
            }
        }
    }

    pub fn answer(&mut self, order: u64, result: OrderResult) {
        if self.draws(FaultKind::LostAnswer, 50) {
            return;
        }
        let delay = if self.draws(FaultKind::SlowAnswer, 150) {
            self.span(10..ORDER_TIMEOUT)
        } else {
            self.span(1..10)
        };
        self.send(Message::Answer(order, result), delay);
    }

    pub fn answer_poll(&mut self, order: u64, index: usize) {
        let life = self.machines[index].life.as_ref().expect("a life");
        let mut listing = life.listing(self.now);
        if self.draws(FaultKind::TornListing, 60) {
            let rows = listing.running.len() + listing.ended.len();
            listing.running.retain(|_| self.rng.bool());
            listing.ended.retain(|_| self.rng.bool());
            listing.unreadable_rows = rows - listing.running.len() - listing.ended.len();
        }
        self.answer(order, OrderResult::Listing(Ok(listing)));
    }

    /// Carries out an order at the worker that has the address now.
    pub fn carry_out(&mut self, order: u64) {
        let sent = self.orders[&order].clone();
        let now = self.now;
        let Some(index) = self.machine_at(sent.kind.target()) else {
            self.answer(order, sent.kind.error(OrderError::Undelivered));
            return;
        };
        let machine = &self.machines[index];
        let is_hidden = sent.epoch >= machine.hidden.0 && machine.hidden.1 > now;
        if is_hidden || machine.cut_until > now || self.is_beyond_fencing(&sent, index) {
            return;
        }
        let Some(life) = &machine.life else {
            if self.rng.bool() {
                self.answer(order, sent.kind.error(OrderError::Undelivered));
            }
            return;
        };
        if life.id != sent.kind.target().id {
            self.answer(order, sent.kind.error(OrderError::WrongIncarnation));
            return;
        }
        if self.draws(FaultKind::Unhealthy, 20) {
            self.answer(order, sent.kind.error(OrderError::Unhealthy));
            return;
        }
        match &sent.kind {
            OrderKind::Start(command) => {
                let result = self.start(command, index);
                self.answer(order, OrderResult::Clock(result));
            }
            OrderKind::Stop(command) => {
                let life = self.machines[index].life.as_mut().expect("a life");
                let result = life.stop(command, now).map(|()| life.clock(now));
                self.answer(order, OrderResult::Clock(result));
            }
            OrderKind::Poll(command) => self.poll(order, command, index),
        }
        if std::mem::take(&mut self.machines[index].crashes_next) {
            self.crash_machine(index);
        }
    }

    /// Returns whether an order reaches a later life than the one that was up when it left
    /// after its owner has done all to make it void: the earlier life had accepted a higher
    /// token, or a lease has passed. No owner can fence a life that it has not met, so that
    /// such an order could break any owner's promise.
    pub fn is_beyond_fencing(&self, sent: &SentOrder, index: usize) -> bool {
        let machine = &self.machines[index];
        let is_void = sent.kind.token() < machine.earlier_token
            || self.now.since(sent.sent) > LATEST_FOR_NEXT_LIFE;
        machine.lives != sent.life && is_void
    }

    pub fn poll(&mut self, order: u64, command: &PollCommand, index: usize) {
        let now = self.now;
        let machine = &mut self.machines[index];
        let life = machine.life.as_mut().expect("a life");
        match life.poll(command, now) {
            Ok(noted) => {
                let waits = !life.has_ends() && command.max_wait > MilliSpan::ZERO;
                for end in &noted {
                    self.ledger.add_noted(end);
                }
                if waits {
                    self.held_polls.push(HeldPoll {
                        order,
                        machine: index,
                        life: machine.lives,
                        until: now + command.max_wait,
                    });
                } else {
                    self.answer_poll(order, index);
                }
            }
            Err(error) => self.answer(order, OrderResult::Listing(Err(error))),
        }
    }

    pub fn start(&mut self, command: &StartCommand, index: usize) -> Result<MilliTime, OrderError> {
        let now = self.now;
        let caller_job = &self.jobs[&command.task.job];
        let spec = caller_job.submission.spec.steps[usize::from(command.task.step)].clone();
        let needs_ticket = caller_job.submission.queue == ADVISED;
        let most = spec.estimate.as_millis();
        let fails = self.scenario.has(FaultKind::FailedRun) && self.rng.u32(0..100) < 5;
        let outcome = if fails { RunEnd::Failed } else { RunEnd::Done };
        let span = self.span(most / 20..most * 2);
        if needs_ticket && !self.accepts_ticket(&command.ticket, index) {
            return Err(OrderError::BadTicket);
        }
        let mut run = LifeRun::new(command.run, spec.demand, now);
        if !spec.is_gang {
            run = run.with_end(now + span, outcome);
        }
        let machine = &mut self.machines[index];
        let life = machine.life.as_mut().expect("a life");
        let is_new = life.start(command, run, now)?;
        let clock = life.clock(now);
        if is_new {
            if spec.is_gang {
                let key = (command.task.step_name(), command.run);
                let tasks = usize::try_from(spec.tasks).expect("fits");
                let gang = GangRun::new(tasks, span, outcome);
                self.gangs.entry(key).or_insert(gang);
            }
            self.check_start(command, index);
        }
        Ok(clock)
    }

    /// A ticket names the life that it is for and when it was given.
    pub fn accepts_ticket(&self, ticket: &str, index: usize) -> bool {
        let machine = &self.machines[index];
        let Some((life, given)) = ticket.split_once('/') else {
            return false;
        };
        let given = MilliTime::new(given.parse().expect("a time"));
        let validity = config().queues[ADVISED].advice.expect("a cost").validity;
        life == machine.lives.to_string() && self.now.since(given) <= validity
    }

    /// Answers that every second machine may run the step.
    pub fn advice(&self, command: &AdviceCommand) -> Vec<AdviceRow> {
        let suits = |machine: &&FleetMachine| {
            let is_asked = command.workers.contains(&machine.id);
            is_asked && machine.address.as_bytes()["10.1.0.".len()].is_multiple_of(2)
        };
        let rows = self.machines.iter().filter(suits);
        let rows = rows.map(|machine| AdviceRow {
            worker: machine.id.clone(),
            ticket: format!("{}/{}", machine.lives, self.now.as_millis()),
        });
        rows.collect()
    }
}

impl OrderKind {
    pub fn target(&self) -> &WorkerTarget {
        match self {
            Self::Start(command) => &command.target,
            Self::Stop(command) => &command.target,
            Self::Poll(command) => &command.target,
        }
    }

    pub const fn token(&self) -> u64 {
        match self {
            Self::Start(command) => command.token,
            Self::Stop(command) => command.token,
            Self::Poll(command) => command.token,
        }
    }

    pub fn error(&self, error: OrderError) -> OrderResult {
        match self {
            Self::Start(_) | Self::Stop(_) => OrderResult::Clock(Err(error)),
            Self::Poll(_) => OrderResult::Listing(Err(error)),
        }
    }

    /// Passes the result of the order to its owner.
    pub fn pass(&self, owner: &mut OwnerProcess, result: OrderResult) {
        match (self, result) {
            (Self::Start(command), OrderResult::Clock(result)) => {
                owner.cell.start_answered(command, result);
            }
            (Self::Stop(command), OrderResult::Clock(result)) => {
                owner.cell.stop_answered(command, result);
            }
            (Self::Poll(command), OrderResult::Listing(result)) => {
                owner.cell.poll_answered(command, result);
            }
            (Self::Poll(_), OrderResult::Clock(_))
            | (Self::Start(_) | Self::Stop(_), OrderResult::Listing(_)) => {
                unreachable!("the result of another kind of order")
            }
        }
    }
}
