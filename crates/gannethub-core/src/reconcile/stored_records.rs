//! Records that the state service holds are applied to the state: live jobs, their finished tasks, machines of shards.
//!
//! Records arrive while a new leader loads the state, from its watch, and from keys that are read again. They may
//! arrive late and more than once, so each one is applied only as far as its version is news.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use crate::model::{JobSpec, Micros, TaskSet};
use crate::policy::Setting;
use crate::saga::Saga;
use crate::state::cluster::Cluster;
use crate::state::records::{FailureTracking, Job};
use crate::state::shard::ChunkRecord;
use crate::wire::store::{self, DonePartRecord, JobRecord, LiveRecord, TASKS_PER_PART};

/// Parts of a job's finished tasks have lower numbers than this; a key with a higher one is damaged.
const MAX_PARTS: u32 = 100;

impl Cluster {
    /// Applies a live job's record of this version.
    pub fn apply_live_record(&mut self, id: &str, record: LiveRecord, version: u64) {
        match record {
            LiveRecord::Job(record) => self.apply_job_record(id, record, version),
            LiveRecord::Waiting(record) => self.apply_waiting_job(id, record, version),
        }
    }

    /// Applies the record of a job that waits for no other: a new job, a cancellation, or what was read again.
    pub fn apply_job_record(&mut self, id: &str, record: JobRecord, version: u64) {
        if record.shard != self.shard.id {
            return self.apply_foreign_job_record(id, &record, version);
        }
        self.jobs_in_other_shards.remove(id);
        if let Some(job) = self.jobs.get_mut(id) {
            job.version = job.version.max(version);
            job.version_unknown = false;
            job.durable_watermark = job.durable_watermark.max(record.effective_watermark());
            store::decode_done_part(&record.done, 0, &mut job.durable_done);
            if record.cancelled && !job.cancelled {
                self.cancel_job(id);
            }
            return;
        }
        if self.has_tombstone(id, version) {
            return;
        }
        self.mark_upstream_released(&id.into());
        let cancelled = record.cancelled;
        self.add_job(id, record, version);
        if cancelled {
            self.cancel_job(id);
        }
    }

    /// Adds a job that is not known yet.
    fn add_job(&mut self, id: &str, record: JobRecord, version: u64) {
        let mut job = new_job(id, record, version);
        job.team = self.settings.team(&job.spec.team);
        // What was there before this term may be on machines of which nothing is known yet.
        let maybe_launched = match self.unconfirmed.loading {
            true if self.watermarks_reliable => job.durable_watermark,
            true => job.spec.tasks,
            false => 0,
        };
        job.unconfirmed = job.pending.slice(0, maybe_launched);
        if job.spec.spot && !self.may_use_spot(&job) {
            let spec = (*job.submitted_spec).clone();
            job.spec = Arc::new(JobSpec {
                spot: false,
                ..spec
            });
        }
        self.queue.add_arrival(job.id.clone());
        self.jobs.insert(job.id.clone(), job);
        self.pass_needed = true;
    }

    /// Whether the operators' policy lets a job use spot machines.
    fn may_use_spot(&self, job: &Job) -> bool {
        let within_guarantee = self.fits_guarantee(job);
        let latest_start = self.latest_start(job, within_guarantee);
        let inputs = self.policy_inputs(job, within_guarantee, latest_start);
        self.settings.policy.truth(Setting::UseSpot, &inputs)
    }

    /// Applies the record of a job whose tasks run in another shard. Shard 0's owner keeps track of it, for jobs that
    /// wait for it.
    fn apply_foreign_job_record(&mut self, id: &str, record: &JobRecord, version: u64) {
        if self.jobs.remove(id).is_some() {
            tracing::info!(job = id, shard = record.shard, "moves to another shard");
        }
        if self.shard.id != 0 || self.has_tombstone(id, version) {
            return;
        }
        let known_version = self.jobs_in_other_shards.insert(id.into(), version);
        if known_version.is_none() {
            self.mark_upstream_released(&id.into());
        }
        if record.cancelled {
            self.mark_upstream_cancelled(id);
        }
    }

    /// Applies one part of a large array's finished tasks.
    pub fn apply_done_part(&mut self, key: &str, record: &DonePartRecord) {
        let Some((id, part)) = store::parse_done_part_key(key) else {
            return;
        };
        match self.jobs.get_mut(id) {
            Some(job) if part < MAX_PARTS => add_durable_part(job, record, part),
            // A part of no job is left over from one that is finished.
            _ if self.shard.id == 0 && !self.jobs_in_other_shards.contains_key(id) => {
                self.stale_keys.push(key.to_string());
            }
            _ => {}
        }
    }

    /// Applies a chunk of a shard's machines, which may run tasks of an earlier term.
    pub fn apply_shard_chunk(&mut self, key: &str, record: ChunkRecord, version: u64) {
        let Some(index) = self.shard.parse_chunk_key(key) else {
            if let Some(shard) = store::parse_chunk_shard(key) {
                let machines = record.machines.into_keys().map(|name| (name, shard));
                self.machines_in_other_shards.extend(machines);
            }
            return;
        };
        let took_over_at = self.took_over_at;
        for (name, member) in &record.machines {
            let (machine_type, zone) = (&member.flavor, &member.zone);
            let machine =
                self.machine_or_adopt(name, machine_type, zone, member.spot, took_over_at);
            machine.recorded = true;
            machine.last_answered_at = took_over_at;
            machine.is_up = true;
        }
        self.shard.load_chunk(index, record, version);
    }

    /// A job's live key is gone: the job is finished, whoever wrote that. `cancelled`: what its finished record says,
    /// where that was read or written here; otherwise it is read if another job waits for this one.
    pub fn apply_job_end(&mut self, id: &str, version: u64, cancelled: Option<bool>) {
        let known = self.record_version(id);
        if known.is_some_and(|known| known >= version) {
            return;
        }
        self.tombstones.insert(id.into(), version);
        self.jobs_in_other_shards.remove(id);
        if self.remove_waiting_job(id) {
            return;
        }
        self.mark_upstream_ended(id, cancelled);
        if let Some(job) = self.jobs.remove(id) {
            let first_part = u32::from(!job.overflow);
            let parts = first_part..job.spec.tasks.div_ceil(TASKS_PER_PART);
            let keys = parts.map(|part| store::done_part_key(id, part));
            self.stale_keys.extend(keys);
        }
    }

    /// All records have been read; leases of recorded machines are counted from here.
    pub fn finish_loading(&mut self, now: Micros) {
        self.took_over_at = now;
        self.unconfirmed.loading = false;
        self.shard.finish_loading();
        for machine in self.machines.values_mut() {
            machine.last_answered_at = now;
        }
        // A heartbeat may come before the next tick, and limits have to count unconfirmed tasks from here on.
        self.review_unconfirmed(now);
    }
}

/// A job as its record has it, with nothing live. The caller finds its team and what of it is unconfirmed.
fn new_job(id: &str, record: JobRecord, version: u64) -> Job {
    let watermark = record.effective_watermark();
    let spec = Arc::new(record.spec);
    let mut done = TaskSet::default();
    store::decode_done_part(&record.done, 0, &mut done);
    let mut pending = TaskSet::up_to(spec.tasks);
    for index in done.iter() {
        pending.remove(index);
    }
    Job {
        id: id.into(),
        submitted_spec: spec.clone(),
        team: None,
        accepted_at: record.accepted_at,
        ready_at: record.ready_at.unwrap_or(record.accepted_at),
        downstream_demand: None,
        version,
        durable_done: done.clone(),
        done,
        cancelled: false,
        saga: Saga::independent(1),
        pending,
        unconfirmed: TaskSet::default(),
        durable_watermark: watermark,
        requested_watermark: watermark,
        live_attempts: HashMap::new(),
        gang_attempt: None,
        saved_progress: HashMap::new(),
        backoff: HashMap::new(),
        failure_tracking: FailureTracking::new(record.crash_looping),
        dirty_parts: BTreeSet::new(),
        dirty_since: None,
        overflow: false,
        write_in_flight: false,
        version_unknown: false,
        fully_placed: false,
        home_shard: None,
        within_guarantee: false,
        gang_placement_tried: false,
        preempted_for_at: None,
        reservable_until: 0,
        last_queued_pass: 0,
        spec,
    }
}

/// Adds finished tasks that the state service holds in a part of their own.
fn add_durable_part(job: &mut Job, record: &DonePartRecord, part: u32) {
    job.overflow |= part == 0;
    let mut done = TaskSet::default();
    store::decode_done_part(&record.done, part, &mut done);
    for index in done.iter().filter(|index| *index < job.spec.tasks) {
        job.done.insert(index);
        job.durable_done.insert(index);
        job.pending.remove(index);
        job.unconfirmed.remove(index);
    }
}
