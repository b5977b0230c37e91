//! Workers' reports: what they say of machines and attempts, what follows from that, and the answer.

use std::collections::HashSet;

use gannethub_ledger::line::Reason;

use crate::model::{
    AttemptId, MachineId, Micros, Resources, SECOND, Shape, TaskId, seconds_from_micros,
};
use crate::saga::{AbortAction, Saga, SagaState};
use crate::state::attempt::{Attempt, AttemptPhase, GangAttempt, LiveAttempt};
use crate::state::cluster::Cluster;
use crate::state::job::Job;
use crate::state::machine::Machine;
use crate::state::shard::ShardMember;
use crate::state::usage;
use crate::wire::store::TASKS_PER_PART;
use crate::wire::worker::{ExitReason, Order, TaskState, WorkerHeartbeat};

/// Orders in one answer, or sent directly: keeps its line below 64 KiB.
pub(super) const MAX_ORDERS_PER_ANSWER: usize = 300;
/// A takeover does not wait for the silent when fewer than one in so many are.
const MACHINES_PER_SILENT_ALLOWED: usize = 40;
/// All machines are looked over this often, for each machine there is, and at least so often.
const SCAN_INTERVAL_PER_MACHINE: Micros = 50;
const MAX_SCAN_INTERVAL: Micros = SECOND / 2;

/// A machine whose sessions ended so often in a row though its reports were answered is returned.
const MAX_UNANSWERED_INCARNATIONS: u32 = 3;

/// What tells a report's tasks and their states from another's.
fn heartbeat_digest(report: &WorkerHeartbeat<'_>) -> u64 {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let mut hasher = DefaultHasher::new();
    report.tasks.len().hash(&mut hasher);
    for t in &report.tasks {
        (
            &t.task,
            t.attempt,
            t.state as u8,
            t.exit_reason.map(|w| w as u8),
        )
            .hash(&mut hasher);
    }
    hasher.finish()
}

/// What a report is answered with.
#[derive(Debug, PartialEq)]
pub enum HeartbeatOutcome {
    Orders(Vec<Order>),
    /// An old message, or one that must not renew anything.
    Stale,
    /// The worker has seen a higher token: this controller has been replaced.
    Deposed,
    /// The machine is in another block, or not in this one.
    OtherShard(Option<u32>),
}

impl Cluster {
    /// Answers a worker's report. The caller has checked that this controller may act.
    pub fn apply_heartbeat(
        &mut self,
        now: Micros,
        report: &WorkerHeartbeat<'_>,
    ) -> HeartbeatOutcome {
        self.now = now;
        let known = self.machines.contains_key(&*report.machine);
        if !known && self.shard.id != 0 {
            return HeartbeatOutcome::OtherShard(None);
        }
        if let Some(block) = self.other_shards.machines.get(&*report.machine) {
            return HeartbeatOutcome::OtherShard(Some(*block));
        }
        if report.token > self.term {
            return HeartbeatOutcome::Deposed;
        }
        if !known && self.fleet.deleted_machines.contains_key(&*report.machine) {
            // The machine is known to be gone: its tasks, shown by a report that was held back,
            // must not hold up their successors for another lease.
            return HeartbeatOutcome::Stale;
        }
        let every = self.settings.report + self.settings.report / 4 + SECOND / 20;
        let lease = self.settings.lease;
        let machine = self.machine_or_adopt(
            &report.machine,
            &report.machine_type,
            &report.zone,
            report.spot,
            now,
        );
        let id = machine.id.clone();
        let zone = machine.zone.clone();
        if (report.incarnation, report.sequence)
            <= (machine.worker.incarnation, machine.worker.sequence)
            || report.incarnation <= machine.worker.lost_incarnation
        {
            return HeartbeatOutcome::Stale;
        }
        let mut booted = None;
        if !machine.lifecycle.is_up {
            let took = now.saturating_sub(machine.lifecycle.provisioned_at);
            tracing::info!(machine = %id, known, boot_s = seconds_from_micros(took) as u32, "machine is up");
            machine.lifecycle.is_up = true;
            machine.placement.idle_since = now;
            // Of a machine that nobody knew of, nobody knows when it was rented.
            booted = machine.machine_type.filter(|_| known).map(|f| (f, took));
        }
        let new_session = report.incarnation > machine.worker.incarnation;
        let news = new_session || !machine.worker.confirmed;
        // Others were sent in between, or this one was held up while it was tried elsewhere.
        let late = machine
            .worker
            .last_heartbeat_at
            .is_some_and(|t| now > t + every);
        let missed = new_session || report.sequence > machine.worker.sequence + 1 || late;
        if new_session && machine.ended_unanswered(now, lease) {
            // Reports arrive and answers do not. Whatever is placed there is lost with each session, and with the
            // cheapest room of all it would be placed there again and again.
            machine.worker.unanswered_incarnations += 1;
            machine.placement.unschedulable_until = now
                + (lease
                    << machine
                        .worker
                        .unanswered_incarnations
                        .min(MAX_UNANSWERED_INCARNATIONS));
            machine.lifecycle.quarantined |=
                machine.worker.unanswered_incarnations >= MAX_UNANSWERED_INCARNATIONS;
            tracing::info!(machine = %id, sessions = machine.worker.unanswered_incarnations, "its worker gets no answers");
        }
        machine.worker.incarnation = report.incarnation;
        machine.worker.sequence = report.sequence;
        machine.worker.previous_heartbeat_at = machine.worker.last_heartbeat_at.replace(now);
        machine.worker.missed_heartbeats = missed;
        machine.worker.last_answered_at = now;
        if news || machine.worker.address.is_none() {
            machine.worker.address = report.address.parse().ok();
        }
        let notice = report.preemption_notice_s.is_some() && !machine.lifecycle.preemption_notice;
        machine.lifecycle.preemption_notice |= notice;
        if !machine.lifecycle.recorded && !machine.lifecycle.deleting && !self.shard.contains(&id) {
            let (machine_type, zone) = (report.machine_type.to_string(), report.zone.to_string());
            self.shard.add(
                &id,
                ShardMember {
                    machine_type,
                    zone,
                    spot: report.spot,
                },
                None,
            );
        }
        if let Some((f, took)) = booted {
            self.fleet.provisioning_times.record_boot(
                f,
                &zone,
                self.machine_types[f].boot_time,
                took,
                now,
            );
        }
        self.passes.needed |= news;
        if new_session {
            // The worker killed and forgot all it had when its lease ended.
            self.lose_attempts(&id, now, Reason::Lease, "its session ended");
        }
        if report.token < self.term {
            // A report held back in the network may be older than another leader's launches.
            // Only a worker that has seen this term's token tells us all that it holds.
            return HeartbeatOutcome::Orders(Vec::new());
        }
        if let Some(m) = self.machines.get_mut(&id) {
            m.worker.confirmed = true;
        }
        if notice {
            tracing::info!(machine = %id, "spot notice");
            self.passes.needed = true;
        }
        if self.zones.unreachable.remove(&zone).is_some() {
            tracing::info!(%zone, "a zone is heard again");
        }
        let digest = heartbeat_digest(report);
        if self
            .machines
            .get(&id)
            .is_some_and(|m| m.worker.heartbeat_digest != Some(digest))
        {
            self.reconcile_attempts(&id, now, report);
            if let Some(m) = self.machines.get_mut(&id) {
                m.worker.heartbeat_digest = Some(digest);
            }
        }
        if self
            .machines
            .get(&id)
            .is_some_and(|m| m.lifecycle.preemption_notice)
        {
            self.drain_machine(&id);
        }
        self.reindex_machine(&id, now);
        if std::mem::take(&mut self.passes.capacity_freed) {
            // What came free is used at once: the launches go out with this very answer.
            self.use_freed_capacity(&id, now);
        }
        HeartbeatOutcome::Orders(self.orders_for(&id))
    }

    fn reconcile_attempts(&mut self, id: &MachineId, now: Micros, report: &WorkerHeartbeat<'_>) {
        let mut reported: HashSet<AttemptId> = HashSet::with_capacity(report.tasks.len());
        for t in &report.tasks {
            let Some(task) = TaskId::parse(&t.task) else {
                continue;
            };
            let key = AttemptId {
                task,
                number: t.attempt,
            };
            reported.insert(key.clone());
            let phase = match t.state {
                TaskState::Fetching => AttemptPhase::Fetching,
                TaskState::Waiting => AttemptPhase::Waiting,
                TaskState::Running => AttemptPhase::Running,
                TaskState::Saving => AttemptPhase::Saving,
                TaskState::Exited => {
                    AttemptPhase::Ended(t.exit_reason.unwrap_or(ExitReason::Other))
                }
            };
            let Some(machine) = self.machines.get_mut(id) else {
                return;
            };
            let known = machine.attempts.get_mut(&key).map(|a| {
                if let Some(tab) = &mut a.usage_record {
                    tab.saved |= t.saved;
                }
                a.phase
            });
            match known {
                None => self.adopt_attempt(id, key, phase, now),
                Some(old) if old != phase => self.change_phase(id, &key, phase, now),
                Some(_) => {}
            }
        }
        self.charge_orphans_not_shown(id, report.incarnation, now);
        let Some(machine) = self.machines.get(id) else {
            return;
        };
        let missing: Vec<_> = machine
            .attempts
            .keys()
            .filter(|k| !reported.contains(*k))
            .cloned()
            .collect();
        for key in missing {
            let Some(machine) = self.machines.get_mut(id) else {
                return;
            };
            let Some(a) = machine.attempts.get(&key) else {
                continue;
            };
            match a.phase {
                AttemptPhase::Ended(_) => {
                    machine.attempts.remove(&key);
                }
                // The answer with the launch was lost, and workers drop late answers: ask again.
                AttemptPhase::Starting if a.stop_grace.is_none() => {}
                _ => {
                    self.release_attempt(id, &key, Reason::Missing, now);
                    self.attempt_gone(&key, id, None, now);
                    if let Some(m) = self.machines.get_mut(id) {
                        m.attempts.remove(&key);
                    }
                }
            }
        }
    }

    /// A worker shows an attempt that this leader did not start.
    fn adopt_attempt(&mut self, id: &MachineId, key: AttemptId, phase: AttemptPhase, now: Micros) {
        let AttemptId {
            task,
            number: attempt,
        } = key.clone();
        let ended = matches!(phase, AttemptPhase::Ended(_));
        let mut entry = Attempt {
            phase,
            phase_since: now,
            reported: true,
            stop_grace: None,
            resources: Resources::default(),
            team: None,
            holds_capacity: !ended,
            usage_record: self.adopt_usage_record(id, &key, phase),
        };
        if let Some(job) = self.jobs.get_mut(&task.job) {
            entry.resources = job.spec.need;
            entry.team = job.team;
            let free = !job.tasks.live_attempts.contains_key(&task.index)
                && !job.tasks.done.contains(task.index);
            if phase == AttemptPhase::Ended(ExitReason::Done) {
                self.complete_task(&task, now);
            } else if !ended && free && task.index < job.spec.tasks {
                job.tasks.live_attempts.insert(
                    task.index,
                    LiveAttempt {
                        machine: id.clone(),
                        number: attempt,
                    },
                );
                job.tasks.pending.remove(task.index);
                job.tasks.unconfirmed.remove(task.index);
                job.request_watermark(task.index + 1);
                if job.cancelled {
                    entry.stop_grace = Some(0);
                } else if job.spec.shape == Shape::Gang {
                    let tasks = job.spec.tasks;
                    let gang = job.tasks.gang_attempt.get_or_insert_with(|| GangAttempt {
                        attempt,
                        saga: Saga::independent(tasks),
                        running: false,
                        stopping: false,
                    });
                    gang.running |= matches!(phase, AttemptPhase::Running | AttemptPhase::Saving);
                    if gang.attempt != attempt {
                        entry.stop_grace = Some(0);
                    }
                }
            } else if !ended {
                entry.stop_grace = Some(0);
            }
        } else if !ended {
            // No such pipeline any more: it is over, so this must end.
            entry.stop_grace = Some(0);
        }
        let holds = entry.holds_capacity;
        let (need, team) = (entry.resources, entry.team);
        if let Some(m) = self.machines.get_mut(id) {
            m.attempts.insert(key.clone(), entry);
        }
        if let AttemptPhase::Ended(why) = phase {
            self.charge_attempt(id, &key, usage::end_reason(why), now);
        }
        if holds {
            self.adjust_usage(id, team, need, now);
        }
    }

    /// An attempt changed its phase.
    fn change_phase(&mut self, id: &MachineId, key: &AttemptId, phase: AttemptPhase, now: Micros) {
        self.usage_phase_changed(id, key, phase, now);
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let Some(a) = machine.attempts.get_mut(key) else {
            return;
        };
        let old = std::mem::replace(&mut a.phase, phase);
        let ran = if old == AttemptPhase::Running {
            now.saturating_sub(a.phase_since)
        } else {
            0
        };
        a.phase_since = now;
        a.reported = true;
        // It shows what it was told to launch.
        machine.worker.unanswered_incarnations = 0;
        let Some(job) = self.jobs.get_mut(&key.task.job) else {
            if let AttemptPhase::Ended(why) = phase {
                self.release_attempt(id, key, usage::end_reason(why), now);
            }
            return;
        };
        match phase {
            AttemptPhase::Running | AttemptPhase::Waiting => {
                machine
                    .placement
                    .cached_images
                    .insert(job.spec.image.clone());
                if let Some(g) = job
                    .tasks
                    .gang_attempt
                    .as_mut()
                    .filter(|g| g.attempt == key.number)
                {
                    g.running |= phase == AttemptPhase::Running;
                }
            }
            AttemptPhase::Ended(why) => {
                if why == ExitReason::Done {
                    machine
                        .placement
                        .cached_images
                        .insert(job.spec.image.clone());
                    machine.placement.failures_by_job.clear();
                    if ran > 0 && job.spec.estimate > 0 {
                        let ran = ran
                            + job
                                .tasks
                                .saved_progress
                                .remove(&key.task.index)
                                .unwrap_or(0);
                        let ratio = (ran as f64 / job.spec.estimate as f64).clamp(0.1, 10.0);
                        let pace = self
                            .runtime_ratios
                            .entry(job.spec.class.clone())
                            .or_insert(1.0);
                        *pace += 0.05 * (ratio - *pace);
                    }
                }
                self.release_attempt(id, key, usage::end_reason(why), now);
                self.attempt_gone(key, id, Some(why), now);
            }
            AttemptPhase::Saving => {
                *job.tasks.saved_progress.entry(key.task.index).or_default() += ran
            }
            _ => {}
        }
    }

    /// Gives back what an attempt held.
    fn release_attempt(&mut self, id: &MachineId, key: &AttemptId, reason: Reason, now: Micros) {
        self.charge_attempt(id, key, reason, now);
        let Some(m) = self.machines.get_mut(id) else {
            return;
        };
        let Some(a) = m.attempts.get_mut(key).filter(|a| a.holds_capacity) else {
            return;
        };
        a.holds_capacity = false;
        self.passes.capacity_freed = true;
        self.passes.needed = true;
        let (need, team) = (a.resources, a.team);
        if !m.holds_capacity() {
            m.placement.idle_since = now;
        }
        self.adjust_usage(id, team, need.scaled_by(-1), now);
    }

    /// A task is done: its saga commits, and with the last one its job's does.
    fn complete_task(&mut self, task: &TaskId, now: Micros) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if job.cancelled || job.spec.shape == Shape::Service || task.index >= job.spec.tasks {
            return;
        }
        let first = job.tasks.done.is_empty();
        // The tasks of a gang complete together: one done means every one is.
        let range = match job.spec.shape {
            Shape::Gang => 0..job.spec.tasks,
            _ => task.index..task.index + 1,
        };
        for x in range {
            job.tasks.done.insert(x);
            job.tasks.pending.remove(x);
            job.tasks.unconfirmed.remove(x);
            job.tasks.backoff.remove(&x);
            job.persistence.dirty_parts.insert(x / TASKS_PER_PART);
            if let Some(g) = &mut job.tasks.gang_attempt {
                g.saga.commit(&x);
            }
        }
        job.persistence.dirty_since.get_or_insert(now);
        if job.is_finished() {
            job.saga.commit(&0);
            debug_assert_eq!(job.saga.state(), SagaState::Committed);
        }
        if first {
            self.clear_failures(&task.job, now);
        }
    }

    /// An attempt is known to be gone. `why` is `None` when it vanished with its machine.
    fn attempt_gone(
        &mut self,
        key: &AttemptId,
        id: &MachineId,
        why: Option<ExitReason>,
        now: Micros,
    ) {
        let AttemptId {
            task,
            number: attempt,
        } = key;
        if why == Some(ExitReason::Done) {
            self.complete_task(task, now);
        }
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if job
            .tasks
            .live_attempts
            .get(&task.index)
            .is_none_or(|live| live.number != *attempt || live.machine != *id)
        {
            return;
        }
        job.tasks.live_attempts.remove(&task.index);
        if job.cancelled || job.tasks.done.contains(task.index) {
            return;
        }
        job.tasks.pending.insert(task.index);
        match why {
            Some(ExitReason::Error) => self.record_task_failure(task, id, now),
            Some(ExitReason::NoRoom | ExitReason::Busy | ExitReason::Unknown) => {
                tracing::info!(task = %task, machine = %id, ?why, "launch refused");
                let wait = if why == Some(ExitReason::Unknown) {
                    5 * SECOND
                } else {
                    SECOND
                };
                let backoff = job.tasks.backoff.entry(task.index).or_default();
                backoff.until = now + wait;
                if let Some(m) = self.machines.get_mut(id) {
                    m.placement.unschedulable_until = now + 3 * SECOND;
                }
            }
            _ => {}
        }
        self.gang_task_lost(task, *attempt, why);
    }

    /// A task of a gang is gone without being done.
    fn gang_task_lost(&mut self, task: &TaskId, attempt: u64, why: Option<ExitReason>) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(gang) = job
            .tasks
            .gang_attempt
            .as_mut()
            .filter(|g| g.attempt == attempt)
        else {
            return;
        };
        // Before the start a replacement with the same attempt number completes the gang.
        let replace = !gang.running
            && !gang.stopping
            && matches!(why, None | Some(ExitReason::NoRoom | ExitReason::Error));
        let mut cancels = Vec::new();
        if !replace && !gang.stopping {
            cancels = gang.saga.abort_element(&task.index);
            gang.stopping = true;
        }
        if job.tasks.live_attempts.is_empty() {
            job.tasks.gang_attempt = None;
        }
        let id = task.job.clone();
        for action in cancels {
            let AbortAction::Cancel(i) = action else {
                continue;
            };
            let live = self
                .jobs
                .get(&id)
                .and_then(|j| j.tasks.live_attempts.get(&i).cloned());
            if let Some(live) = live {
                self.stop_attempt(&id, i, &live.machine, live.number, 0);
            }
        }
    }

    /// Everything that was on the machine is gone.
    fn lose_attempts(&mut self, id: &MachineId, now: Micros, reason: Reason, why: &str) {
        let Some(m) = self.machines.get_mut(id) else {
            return;
        };
        m.worker.heartbeat_digest = None;
        let keys: Vec<_> = m.attempts.keys().cloned().collect();
        let held = m.attempts.values().filter(|a| a.holds_capacity).count();
        if held > 0 {
            tracing::info!(machine = %id, tasks = held, why, "tasks lost");
        }
        self.record_unmetered_interval(id, now);
        for key in keys {
            self.release_attempt(id, &key, reason, now);
            let ended = self
                .machines
                .get_mut(id)
                .and_then(|m| m.attempts.remove(&key));
            if ended.is_some_and(|a| !matches!(a.phase, AttemptPhase::Ended(_))) {
                self.attempt_gone(&key, id, None, now);
            }
        }
    }

    /// The cloud has confirmed that the machine is gone, or it can no longer exist.
    pub fn remove_machine(&mut self, id: &MachineId, now: Micros, why: &str) {
        self.lose_attempts(id, now, Reason::Machine, why);
        self.charge_orphans(id, Reason::Machine, now);
        self.shard.remove(id);
        if let Some(m) = self.machines.remove(id)
            && let Some(number) = m.placement.capacity_bucket
        {
            self.capacity_index
                .remove(number, id, m.placement.indexed_free_cpu);
        }
    }

    fn orders_for(&mut self, id: &MachineId) -> Vec<Order> {
        let now = self.now;
        let Some(machine) = self.machines.get(id) else {
            return Vec::new();
        };
        let mut starts = Vec::new();
        let mut orders = Vec::new();
        for (key, a) in &machine.attempts {
            let (task, attempt) = (&key.task, key.number);
            let name = || task.to_string();
            // What belongs to no live pipeline has to end.
            let job = self.jobs.get(&task.job);
            let stop = if job.is_some() { a.stop_grace } else { Some(0) };
            match (a.phase, stop) {
                (AttemptPhase::Ended(why), _) => {
                    // A completion must be in the state service before the worker forgets it.
                    let durable = why != ExitReason::Done
                        || self.jobs.get(&task.job).is_none_or(|j| {
                            j.cancelled
                                || j.persistence.durable_done.contains(task.index)
                                || j.spec.shape == Shape::Service
                        });
                    if durable && self.is_usage_settled(machine, key) {
                        orders.push(Order::Forget {
                            task: name(),
                            attempt,
                        });
                    }
                }
                (AttemptPhase::Saving, Some(grace)) if grace > 0 => {}
                (_, Some(grace)) if a.reported => {
                    let grace_s = grace as f64 / SECOND as f64;
                    orders.push(Order::Stop {
                        task: name(),
                        attempt,
                        grace_s,
                    });
                }
                // Until the mark that covers it is written, its place is only kept for it.
                (AttemptPhase::Starting, None)
                    if job.is_some_and(|j| self.may_launch(j, task.index)) =>
                {
                    starts.push(Order::Start {
                        task: name(),
                        attempt,
                    });
                }
                _ => {}
            }
        }
        orders.append(&mut starts);
        orders.truncate(MAX_ORDERS_PER_ANSWER);
        if self.usage_ledger.is_some() {
            self.launches_sent(id, now);
        }
        orders
    }

    /// Runs out leases of silent machines, and finds out whether placing may begin.
    pub fn tick(&mut self, now: Micros, wall: u64) {
        self.unix_time = wall;
        self.now = now;
        // What time alone changes is looked for less often in a large cluster, but at once while
        // placing waits for it.
        let every =
            (SCAN_INTERVAL_PER_MACHINE * self.machines.len() as Micros).min(MAX_SCAN_INTERVAL);
        if self.takeover.settled && now < self.machines_scanned_at + every {
            return;
        }
        self.machines_scanned_at = now;
        let limit = self.lease_expiry_bound();
        self.total_capacity = Resources::default();
        self.machines
            .values()
            .filter(|m| m.lifecycle.is_up)
            .for_each(|m| self.total_capacity += m.capacity);
        let silent: Vec<MachineId> = self
            .machines
            .values()
            .filter(|m| {
                now > m.worker.last_answered_at + limit
                    && (!m.worker.confirmed || !m.attempts.is_empty())
            })
            .map(|m| m.id.clone())
            .collect();
        for id in silent {
            self.lose_attempts(&id, now, Reason::Lease, "its lease ran out");
            self.charge_orphans(&id, Reason::Lease, now);
            if let Some(m) = self.machines.get_mut(&id) {
                m.worker.lost_incarnation = m.worker.lost_incarnation.max(m.worker.incarnation);
            }
        }
        if !self.takeover.settled {
            let waiting = self.review_unconfirmed(now);
            // Every worker has had the time to find this leader. When only a few are silent they
            // have most likely died, and deleting them is sooner known than their leases' ends. Of
            // a zone that is cut off more are silent, and their work goes on: they are waited for.
            let few = (self.machines.len() / MACHINES_PER_SILENT_ALLOWED).max(1);
            if now > self.takeover.at + 2 * self.settings.report + 2 * SECOND && waiting <= few {
                let waits =
                    |m: &&mut Machine| m.is_unconfirmed(now, limit) && !m.lifecycle.deleting;
                for m in self.machines.values_mut().filter(waits) {
                    tracing::info!(machine = %m.id, why = "it holds up a takeover", "returning");
                    m.lifecycle.deleting = true;
                }
            }
            if waiting == 0 {
                tracing::info!(
                    machines = self.machines.len(),
                    jobs = self.jobs.len(),
                    "settled"
                );
                self.takeover.settled = true;
            }
        }
        self.reindex_changed_machines(now);
        self.charge_orphans_of_lost_machines(now);
        let empty =
            |j: &&mut Job| j.tasks.live_attempts.is_empty() && j.tasks.gang_attempt.is_some();
        self.jobs
            .values_mut()
            .filter(empty)
            .for_each(|j| j.tasks.gang_attempt = None);
    }
}
